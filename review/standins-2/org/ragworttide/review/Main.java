package org.ragworttide.review;

import java.nio.file.Path;

/** Plays a case: exit status 0 if the rule held, 1 if it was broken, 2 if it could not run. */
public final class Main {
  private Main() {}

  /** Arguments: the case, the root of the repository, the folder of the record. */
  public static void main(String[] args) {
    Path root = Path.of(args[1]).toAbsolutePath();
    Path folder = Path.of(args[2]).toAbsolutePath();
    Wire.load(root.resolve("review/standins-2/wire.properties"));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Case played = create(args[0], root, folder, trouble)) {
      boolean held = played.play();
      played.journal.say("the rule %s", held ? "held" : "was broken");
      status = held ? 0 : 1;
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().halt(status);
  }

  private static Case create(String name, Path root, Path folder, boolean trouble)
      throws Exception {
    return switch (name) {
      case "versions" -> new VersionsCase(root, folder, trouble);
      case "upload" -> new UploadCase(root, folder, trouble);
      case "cold" -> new ColdCase(root, folder, trouble);
      case "alone" -> new AloneCase(root, folder, trouble);
      case "extra" -> new ExtraCase(root, folder, trouble);
      case "roll" -> new RollCase(root, folder, trouble);
      case "limit" -> new LimitCase(root, folder, trouble);
      default -> throw new IllegalArgumentException("no case " + name);
    };
  }
}
