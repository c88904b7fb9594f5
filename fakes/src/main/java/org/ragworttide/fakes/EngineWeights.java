package org.ragworttide.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Weights and role of a fake engine that accepts orders.
 *
 * <p>Invariants: it fetches only weights that an order allows it to fetch; one that checks fencing
 * numbers refuses each order with a number below the highest number since its start. Safe for use
 * by any thread.
 */
final class EngineWeights {
  private static final String[] KINDS = {"models", "adapters"};

  private final Set<String> loaded = new LinkedHashSet<>();
  private boolean acceptsOrders;
  private boolean checksFencing;
  private long number;
  private long fetches;
  private String role = "";

  synchronized void acceptOrders(boolean on) {
    acceptsOrders = true;
    checksFencing = on;
  }

  /** Executes an order and returns whether it did; refuses one with an old fencing number. */
  synchronized boolean execute(long fencingNumber, JsonNode order) {
    acceptsOrders = true;
    if (checksFencing && fencingNumber < number) {
      return false;
    }
    number = fencingNumber;
    role = order.path("role").asText();
    for (String kind : KINDS) {
      Set<String> target = new LinkedHashSet<>();
      order.path(kind).forEach(entry -> target.add(kind + entry));
      loaded.removeIf(entry -> entry.startsWith(kind) && !target.contains(entry));
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

  /** Clears weights, role and fencing number, as a restart does. */
  synchronized void clear() {
    loaded.clear();
    number = 0;
    role = "";
  }

  /** Returns whether the engine answers requests for the model. */
  synchronized boolean serves(String model) {
    return !acceptsOrders
        || loaded.stream()
            .anyMatch(
                entry ->
                    Json.parse(entry.substring(entry.indexOf('{')).getBytes(StandardCharsets.UTF_8))
                        .path("id")
                        .asText()
                        .equals(model));
  }

  /** Returns the state in the engine's report, or null for an engine that accepts no orders. */
  synchronized ObjectNode state() {
    if (!acceptsOrders) {
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
