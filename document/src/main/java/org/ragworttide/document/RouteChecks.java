package org.ragworttide.document;

import static org.ragworttide.document.CrossChecks.place;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Validates routes against the upstreams that serve them.
 *
 * <p>Invariant: changes the given list of faults only by adding to it. Used by one thread.
 */
final class RouteChecks {
  private final JsonNode root;
  private final List<Fault> faults;
  private final Map<String, String> kinds = new HashMap<>();

  RouteChecks(JsonNode root, List<Fault> faults) {
    this.root = root;
    this.faults = faults;
    root.path("upstreams")
        .forEach(up -> kinds.putIfAbsent(up.path("id").asText(), up.path("kind").asText()));
  }

  void check() {
    for (int i = 0; i < root.path("routes").size(); i++) {
      JsonNode route = root.path("routes").path(i);
      checkKind(i, route);
      checkUpstreams(i, route);
    }
  }

  private void checkKind(int index, JsonNode route) {
    boolean chat = route.path("kind").asText().equals("CHAT");
    boolean nonIdempotent =
        route.path("idempotent").isBoolean() && !route.path("idempotent").asBoolean();
    if (chat && nonIdempotent) {
      add(place("routes", index, "idempotent"), "a chat route must be idempotent");
    }
    if (!chat && route.path("upstreams").isArray() && route.path("upstreams").isEmpty()) {
      add(place("routes", index, "upstreams"), "a service route needs at least one upstream");
    }
    if (nonIdempotent && route.path("windowMillis").asLong() > CrossChecks.retentionMillis(root)) {
      add(place("routes", index, "windowMillis"), "exceeds /fleet/claimRetentionSeconds");
    }
  }

  private void checkUpstreams(int index, JsonNode route) {
    Set<String> seen = new HashSet<>();
    String requiredKind = route.path("kind").asText().equals("CHAT") ? "ENGINE" : "SERVICE";
    for (int i = 0; i < route.path("upstreams").size(); i++) {
      String place = place("routes", index, "upstreams") + "/" + i;
      String id = route.path("upstreams").path(i).asText();
      String kind = kinds.get(id);
      if (kind == null) {
        add(place, "'" + id + "' is not among /upstreams");
      } else if (!kind.equals(requiredKind)) {
        add(place, "'" + id + "' is of kind " + kind + ", the route needs " + requiredKind);
      }
      if (!seen.add(id)) {
        add(place, "'" + id + "' is repeated");
      }
    }
  }

  private void add(String place, String message) {
    faults.add(new Fault(place, message));
  }
}
