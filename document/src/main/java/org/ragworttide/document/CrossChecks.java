package org.ragworttide.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Validates constraints between the parts of one configuration document, which a schema cannot
 * express.
 *
 * <p>Invariant: skips values of a wrong type, since the schema reports them. Used by one thread.
 */
final class CrossChecks {
  private static final long MILLIS_PER_SECOND = 1000;

  private final JsonNode root;
  private final List<Fault> faults = new ArrayList<>();

  private CrossChecks(JsonNode root) {
    this.root = root;
  }

  static List<Fault> check(JsonNode root) {
    CrossChecks checks = new CrossChecks(root);
    checks.checkUniqueValues();
    checks.checkReferences();
    new RouteChecks(root, checks.faults).check();
    checks.checkUpstreams();
    new OrderChecks(root, checks.faults).check();
    return checks.faults;
  }

  private void checkUniqueValues() {
    checkUnique("zones", "id");
    checkUnique("organisations", "id");
    checkUnique("keys", "sha256");
    checkUnique("upstreams", "id");
    checkUnique("upstreams", "address");
    checkUnique("routes", "id");
    checkUnique("routes", "path");
  }

  private void checkUnique(String list, String name) {
    Map<String, Integer> seen = new HashMap<>();
    for (int i = 0; i < root.path(list).size(); i++) {
      JsonNode value = root.path(list).path(i).path(name);
      Integer first = value.isTextual() ? seen.putIfAbsent(value.textValue(), i) : null;
      if (first != null) {
        add(place(list, i, name), "repeats the value of " + place(list, first, name));
      }
    }
  }

  private void checkReferences() {
    checkKnown("keys", "organisation", "organisations");
    checkKnown("upstreams", "zone", "zones");
  }

  private void checkKnown(String list, String name, String target) {
    Set<String> ids = ids(root, target);
    for (int i = 0; i < root.path(list).size(); i++) {
      JsonNode value = root.path(list).path(i).path(name);
      if (value.isTextual() && !ids.contains(value.textValue())) {
        add(place(list, i, name), "'" + value.textValue() + "' is not among /" + target);
      }
    }
  }

  private void checkUpstreams() {
    for (int i = 0; i < root.path("upstreams").size(); i++) {
      JsonNode upstream = root.path("upstreams").path(i);
      JsonNode models = upstream.path("models");
      String kind = upstream.path("kind").asText();
      if (kind.equals("ENGINE") && models.isEmpty()) {
        add(place("upstreams", i, "models"), "an engine needs at least one model");
      }
      if (kind.equals("SERVICE") && !models.isEmpty()) {
        add(place("upstreams", i, "models"), "a plain service has no models");
      }
    }
  }

  private void add(String place, String message) {
    faults.add(new Fault(place, message));
  }

  static String place(String list, int index, String name) {
    return "/" + list + "/" + index + "/" + name;
  }

  static Set<String> ids(JsonNode root, String list) {
    Set<String> ids = new HashSet<>();
    root.path(list).forEach(entry -> ids.add(entry.path("id").asText()));
    return ids;
  }

  static long retentionMillis(JsonNode root) {
    JsonNode seconds = root.path("fleet").path("claimRetentionSeconds");
    return seconds.isInt() ? seconds.intValue() * MILLIS_PER_SECOND : Long.MAX_VALUE;
  }
}
