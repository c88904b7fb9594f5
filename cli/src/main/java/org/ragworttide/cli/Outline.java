package org.ragworttide.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats JSON as indented text for people; stateless. */
final class Outline {
  private static final String INDENT = "  ";

  private Outline() {}

  static String of(JsonNode json) {
    StringBuilder text = new StringBuilder();
    append(text, "", json);
    return text.isEmpty() ? "done\n" : text.toString();
  }

  private static void append(StringBuilder text, String indent, JsonNode json) {
    if (json.isArray()) {
      json.forEach(entry -> text.append(indent).append(line(entry)).append('\n'));
      return;
    }
    json.properties()
        .forEach(
            field -> {
              JsonNode value = field.getValue();
              text.append(indent).append(field.getKey()).append(':');
              if (value.isContainerNode()) {
                text.append('\n');
                append(text, indent + INDENT, value);
              } else {
                text.append(' ').append(value.asText()).append('\n');
              }
            });
  }

  private static String line(JsonNode entry) {
    if (!entry.isObject()) {
      return entry.isTextual() ? entry.asText() : entry.toString();
    }
    StringBuilder line = new StringBuilder();
    entry
        .properties()
        .forEach(
            field -> {
              line.append(line.isEmpty() ? "" : INDENT).append(field.getKey()).append('=');
              JsonNode value = field.getValue();
              line.append(value.isTextual() ? value.asText() : value.toString());
            });
    return line.toString();
  }
}
