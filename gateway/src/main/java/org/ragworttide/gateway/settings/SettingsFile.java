package org.ragworttide.gateway.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.ragworttide.gateway.ZoneSettings;
import org.ragworttide.gateway.json.JsonTree;

/** Reads a gateway's settings file, which is JSON with comments. Stateless. */
public final class SettingsFile {
  private SettingsFile() {}

  /** The outcome of reading a settings file. */
  public sealed interface Result {

    /** The file is valid. */
    record Read(SettingsDocument settings) implements Result {}

    /** The file cannot be read or is invalid. */
    record Refused(String reason) implements Result {}
  }

  /** Reads and checks the file. */
  public static Result read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      return new Result.Refused(file + " cannot be read: " + e.getClass().getSimpleName());
    }
  }

  /** Reads and checks the text of a settings file. Unknown settings are ignored. */
  public static Result parse(String text) {
    try {
      return new Result.Read(document(JsonTree.read(text.getBytes(StandardCharsets.UTF_8))));
    } catch (JsonProcessingException e) {
      return new Result.Refused(e.getOriginalMessage());
    } catch (IOException | IllegalArgumentException e) {
      return new Result.Refused(e.getMessage());
    }
  }

  private static SettingsDocument document(JsonNode tree) {
    JsonNode listen = tree.path("listen");
    JsonNode retries = tree.path("retries");
    return new SettingsDocument(
        text(tree, "vm"),
        text(tree, "zone"),
        new SettingsDocument.Listen(
            text(listen, "callers"),
            text(listen, "readiness"),
            listen.has("metrics") ? text(listen, "metrics") : null),
        new SettingsDocument.Peers(text(tree.path("peers"), "listen"), seeds(tree.path("peers"))),
        text(tree, "store"),
        new SettingsDocument.Retries(number(retries, "ratio"), (int) number(retries, "slack")),
        number(tree, "graceSeconds"),
        tree.has("zones") ? zones(tree.path("zones")) : ZoneSettings.OFF);
  }

  private static ZoneSettings zones(JsonNode zones) {
    return new ZoneSettings(
        zones.has("mayBeLost") ? (int) number(zones, "mayBeLost") : 0,
        zones.has("crossingMillis")
            ? OptionalDouble.of(number(zones, "crossingMillis"))
            : OptionalDouble.empty(),
        zones.has("maxLeavingShare") ? number(zones, "maxLeavingShare") : 1);
  }

  private static String text(JsonNode node, String name) {
    JsonNode value = node.path(name);
    if (!value.isTextual() || value.asText().isBlank()) {
      throw new IllegalArgumentException("setting '" + name + "' is missing or not a string");
    }
    return value.asText();
  }

  private static List<String> seeds(JsonNode peers) {
    List<String> seeds = new ArrayList<>();
    peers.path("seeds").forEach(seed -> seeds.add(seed.asText()));
    return seeds;
  }

  private static double number(JsonNode node, String name) {
    JsonNode value = node.path(name);
    if (!value.isNumber()) {
      throw new IllegalArgumentException("setting '" + name + "' is missing or not a number");
    }
    return value.asDouble();
  }
}
