package org.ragworttide.document;

import static org.ragworttide.document.CrossChecks.place;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Validates orders to engines against the upstreams.
 *
 * <p>Invariant: changes the given list of faults only by adding to it. Used by one thread.
 */
final class OrderChecks {
  private final JsonNode root;
  private final List<Fault> faults;
  private final Map<String, JsonNode> upstreams = new HashMap<>();

  OrderChecks(JsonNode root, List<Fault> faults) {
    this.root = root;
    this.faults = faults;
    root.path("upstreams").forEach(up -> upstreams.putIfAbsent(up.path("id").asText(), up));
  }

  void check() {
    JsonNode engines = root.path("orders").path("engines");
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < engines.size(); i++) {
      String id = engines.path(i).path("id").asText();
      checkEngine(place("orders/engines", i, "id"), id);
      if (!seen.add(id)) {
        add(place("orders/engines", i, "id"), "'" + id + "' is repeated");
      }
      checkNames(i, engines.path(i));
    }
  }

  private void checkEngine(String place, String id) {
    JsonNode upstream = upstreams.get(id);
    if (upstream == null) {
      add(place, "'" + id + "' is not among /upstreams");
    } else if (!upstream.path("kind").asText().equals("ENGINE")) {
      add(place, "'" + id + "' is not an engine and accepts no orders");
    }
  }

  private void checkNames(int index, JsonNode engine) {
    Set<String> names = new HashSet<>();
    for (String list : List.of("models", "adapters")) {
      for (int i = 0; i < engine.path(list).size(); i++) {
        String name = engine.path(list).path(i).path("id").asText();
        if (!names.add(name)) {
          add(place("orders/engines", index, list) + "/" + i + "/id", "'" + name + "' is repeated");
        }
      }
    }
    JsonNode served = upstreams.getOrDefault(engine.path("id").asText(), engine).path("models");
    for (JsonNode model : served) {
      if (model.isTextual() && !names.contains(model.textValue())) {
        add(
            place("orders/engines", index, "models"),
            "does not list '" + model.textValue() + "', which the upstream serves");
      }
    }
  }

  private void add(String place, String message) {
    faults.add(new Fault(place, message));
  }
}
