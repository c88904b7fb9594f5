package org.ragworttide.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares two configuration documents entry by entry; the order of their lists has no effect.
 *
 * <p>Invariant: each changed value is listed once. Used by one thread.
 */
final class DiffRunner {
  private static final JsonMapper MAPPER = new JsonMapper();

  /** Difference between two values; an absent one is null. */
  private record Change(String place, JsonNode from, JsonNode to) {

    @Override
    public String toString() {
      if (from == null) {
        return "+ " + place + " " + to;
      }
      return to == null ? "- " + place : "~ " + place + ": " + from + " -> " + to;
    }
  }

  private final List<Change> changes = new ArrayList<>();

  private DiffRunner() {}

  static Report run(Command.Diff command) {
    DiffRunner diff = new DiffRunner();
    diff.compare(
        "",
        MAPPER.valueToTree(Documents.load(command.from())),
        MAPPER.valueToTree(Documents.load(command.to())));
    return diff.report();
  }

  private void compare(String place, JsonNode from, JsonNode to) {
    Map<String, JsonNode> before = entries(from);
    Map<String, JsonNode> after = entries(to);
    Set<String> names = new LinkedHashSet<>(before.keySet());
    names.addAll(after.keySet());
    for (String name : names) {
      compareValue(place + "/" + name, before.get(name), after.get(name));
    }
  }

  private void compareValue(String place, JsonNode from, JsonNode to) {
    if (from != null && from.equals(to)) {
      return;
    }
    if (from == null || to == null || !isKeyed(from)) {
      changes.add(new Change(place, from, to));
    } else {
      compare(place, from, to);
    }
  }

  /** Returns whether the value is an object or a list of objects with an id or a digest. */
  private static boolean isKeyed(JsonNode value) {
    return value.isObject() || (value.isArray() && value.path(0).isObject());
  }

  private static Map<String, JsonNode> entries(JsonNode value) {
    Map<String, JsonNode> entries = new LinkedHashMap<>();
    if (value.isArray()) {
      value.forEach(entry -> entries.put(name(entry), entry));
    } else {
      value.properties().forEach(field -> entries.put(field.getKey(), field.getValue()));
    }
    return entries;
  }

  private static String name(JsonNode entry) {
    return entry.has("id") ? entry.path("id").asText() : entry.path("sha256").asText();
  }

  private Report report() {
    ObjectNode json = MAPPER.createObjectNode();
    ArrayNode list = json.put("same", changes.isEmpty()).putArray("changes");
    StringBuilder text = new StringBuilder();
    for (Change change : changes) {
      text.append(change).append('\n');
      ObjectNode entry = list.addObject().put("place", change.place());
      entry.set("from", change.from());
      entry.set("to", change.to());
    }
    return new Report(
        changes.isEmpty() ? ExitCode.OK : ExitCode.NEGATIVE,
        changes.isEmpty() ? "no difference\n" : text.toString(),
        json);
  }
}
