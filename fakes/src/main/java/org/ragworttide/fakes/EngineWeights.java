package org.ragworttide.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The weights and role of a stand-in engine that takes orders.
 *
 * <p>Invariants: it fetches only what an order lets it fetch; one that checks fencing numbers
 * refuses each order below the highest number since its start. Safe for use by any thread.
 */
final class EngineWeights {
  private static final String[] KINDS = {"models", "adapters"};

  private final Set<String> loaded = new LinkedHashSet<>();
  private boolean ordered;
  private boolean checksFencing;
  private long number;
  private long fetches;
  private String role = "";

  synchronized void checkFencing(boolean on) {
    ordered = true;
    checksFencing = on;
  }

  /** Follows an order and tells whether it did. */
  synchronized boolean take(long fencingNumber, JsonNode order) {
    ordered = true;
    if (checksFencing && fencingNumber < number) {
      return false;
    }
    number = fencingNumber;
    role = order.path("role").asText();
    for (String kind : KINDS) {
      Set<String> wanted = new LinkedHashSet<>();
      order.path(kind).forEach(entry -> wanted.add(kind + entry));
      loaded.removeIf(entry -> entry.startsWith(kind) && !wanted.contains(entry));
      order.path("fetch").path(kind).forEach(entry -> fetch(kind + entry));
    }
    return true;
  }

  synchronized long number() {
    return number;
  }

  synchronized long fetches() {
    return fetches;
  }

  /** Forgets everything, as a restart does. */
  synchronized void clear() {
    loaded.clear();
    number = 0;
    role = "";
  }

  /** Tells whether the engine answers requests for the model. */
  synchronized boolean serves(String model) {
    return !ordered
        || loaded.stream()
            .anyMatch(
                entry ->
                    Json.parse(entry.substring(entry.indexOf('{')).getBytes(StandardCharsets.UTF_8))
                        .path("id")
                        .asText()
                        .equals(model));
  }

  /**
   * Returns what the engine says of itself, or null as long as it has nothing to do with orders.
   */
  synchronized ObjectNode state() {
    if (!ordered) {
      return null;
    }
    ObjectNode state = Json.object();
    state.put("fencingNumber", number).put("role", role);
    ObjectNode lists = state.putObject("loaded");
    for (String kind : KINDS) {
      lists.putArray(kind);
      loaded.stream()
          .filter(entry -> entry.startsWith(kind))
          .forEach(
              entry ->
                  lists
                      .withArray("/" + kind)
                      .add(
                          Json.parse(
                              entry.substring(kind.length()).getBytes(StandardCharsets.UTF_8))));
    }
    return state;
  }

  private void fetch(String entry) {
    if (loaded.add(entry)) {
      fetches++;
    }
  }
}
