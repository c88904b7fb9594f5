package org.ragworttide.fakes;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Runs the fakes on given ports until the process ends; holds no state.
 *
 * <p>Arguments: the platform's port, the booking service's port, a configuration document or {@code
 * demo}, then the engines' ports.
 */
public final class FakesMain {
  private static final int FIXED_ARGUMENTS = 3;
  private static final int EXIT_USAGE = 2;
  private static final Set<String> DEMO_KEYS = Set.of("hotel-key", "hotel-old-key", "plumber-key");

  private FakesMain() {}

  /** Runs the fakes. */
  public static void main(String[] args) throws IOException, InterruptedException {
    if (args.length < FIXED_ARGUMENTS) {
      System.err.println("usage: FakesMain PLATFORM_PORT BOOKINGS_PORT DOCUMENT|demo PORT...");
      System.exit(EXIT_USAGE);
    }
    List<Integer> engines = new ArrayList<>();
    for (int i = FIXED_ARGUMENTS; i < args.length; i++) {
      engines.add(Integer.parseInt(args[i]));
    }
    FakeSet.Ports ports =
        new FakeSet.Ports(Integer.parseInt(args[0]), engines, Integer.parseInt(args[1]));
    FakeSet fakes = FakeSet.start(ports, DEMO_KEYS);
    fakes.platform().publish("configuration", configuration(args[2]));
    System.out.println("platform on " + fakes.platform().port());
    Thread.currentThread().join();
  }

  private static byte[] configuration(String name) throws IOException {
    if (!name.equals("demo")) {
      return Files.readAllBytes(Path.of(name));
    }
    try (InputStream in = FakesMain.class.getResourceAsStream("/demo/configuration.json")) {
      return in.readAllBytes();
    }
  }
}
