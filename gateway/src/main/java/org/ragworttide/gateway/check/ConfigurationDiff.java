package org.ragworttide.gateway.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.ragworttide.gateway.model.CallerLimits;
import org.ragworttide.gateway.model.Configuration;
import org.ragworttide.gateway.model.Organisation;
import org.ragworttide.gateway.model.Route;

/**
 * Lists what a configuration changes against the one in force, in the operator's terms.
 *
 * <p>Invariant: keys are only counted. Confined to one thread, for one comparison.
 */
public final class ConfigurationDiff {
  private final Configuration from;
  private final Configuration to;
  private final List<String> changes = new ArrayList<>();

  private ConfigurationDiff(Configuration from, Configuration to) {
    this.from = from;
    this.to = to;
  }

  /**
   * Returns the changes, first those of access; empty if there are none but for the version.
   *
   * @param inForce the configuration in force
   * @param next the configuration that is to replace it
   */
  public static List<String> of(Configuration inForce, Configuration next) {
    ConfigurationDiff diff = new ConfigurationDiff(inForce, next);
    diff.compareAccess();
    diff.compareRoutes();
    diff.compareServices();
    diff.compareLimits();
    return List.copyOf(diff.changes);
  }

  /** Returns why the configuration would not replace the one in force, empty if it would. */
  public static List<Finding> versionFindings(Configuration inForce, Configuration next) {
    return next.version() > inForce.version()
        ? List.of()
        : List.of(
            Finding.error(
                "version",
                next.version()
                    + " is not greater than "
                    + inForce.version()
                    + ", which is in force"));
  }

  private void compareAccess() {
    Map<String, Organisation> before = byName(from.organisations(), Organisation::name);
    Map<String, Organisation> after = byName(to.organisations(), Organisation::name);
    if (!before.isEmpty() && after.isEmpty()) {
      changes.add("no request needs a key any more: there is no organisation");
    }
    before.forEach(
        (name, organisation) -> {
          if (!after.containsKey(name)) {
            changes.add("organisation " + name + " loses access");
          } else {
            compareKeys(organisation, after.get(name));
          }
        });
    after.forEach(
        (name, organisation) -> {
          if (!before.containsKey(name)) {
            changes.add(
                "organisation " + name + " gets access with " + keys(organisation.keys().size()));
          }
        });
  }

  private void compareKeys(Organisation before, Organisation after) {
    Set<String> removed = new HashSet<>(before.keys());
    after.keys().forEach(removed::remove);
    Set<String> added = new HashSet<>(after.keys());
    before.keys().forEach(added::remove);
    String place = "organisation " + before.name();
    if (!removed.isEmpty() && after.keys().isEmpty()) {
      changes.add(place + " loses access: its last key is withdrawn");
    } else if (!removed.isEmpty()) {
      changes.add(place + " loses " + removed.size() + " of " + keys(before.keys().size()));
    }
    if (!added.isEmpty()) {
      changes.add(place + " gets " + keys(added.size()) + " more");
    }
    compare(place + ": priority", text(before.priority()), text(after.priority()));
  }

  private static String text(OptionalInt priority) {
    return priority.isPresent() ? Integer.toString(priority.getAsInt()) : "that of the route";
  }

  private static String keys(int count) {
    return count == 1 ? "1 key" : count + " keys";
  }

  private void compareRoutes() {
    Map<String, Route> before = byName(from.routes(), Route::name);
    Map<String, Route> after = byName(to.routes(), Route::name);
    before.forEach(
        (name, route) -> {
          if (!after.containsKey(name)) {
            changes.add("route " + name + " (" + matches(route) + ") is removed");
          } else {
            compareRoute(route, after.get(name));
          }
        });
    after.forEach(
        (name, route) -> {
          if (!before.containsKey(name)) {
            changes.add(
                "route " + name + " (" + matches(route) + ") is added, to " + services(route));
          }
        });
  }

  private void compareRoute(Route before, Route after) {
    String place = "route " + before.name();
    if (before.allowsUnauthenticated() != after.allowsUnauthenticated()) {
      changes.add(
          place
              + (after.allowsUnauthenticated()
                  ? " is opened to callers without a key"
                  : " needs a key"));
    }
    compare(place + ": matches", matches(before), matches(after));
    compare(place + ": goes to", services(before), services(after));
    compare(place + ": kind", before.kind().toString(), after.kind().toString());
    compare(place + ": timeout", before.timeoutMillis() + " ms", after.timeoutMillis() + " ms");
    compare(
        place + ": latency objective",
        before.targetLatencyMillis() + " ms",
        after.targetLatencyMillis() + " ms");
    compare(place + ": attempts", before.maxAttempts(), after.maxAttempts());
    compare(place + ": priority", before.priority(), after.priority());
  }

  private static String matches(Route route) {
    return route.host() + route.pathPrefix();
  }

  private static String services(Route route) {
    double total = route.shares().stream().mapToDouble(Route.ServiceShare::weight).sum();
    return route.shares().stream()
        .map(
            share ->
                route.shares().size() == 1
                    ? share.service().value()
                    : "%s (%.0f %%)".formatted(share.service(), 100 * share.weight() / total))
        .collect(Collectors.joining(", "));
  }

  private void compareServices() {
    Set<String> before =
        from.services().stream().map(it -> it.name().value()).collect(Collectors.toSet());
    Set<String> after =
        to.services().stream().map(it -> it.name().value()).collect(Collectors.toSet());
    before.stream()
        .filter(it -> !after.contains(it))
        .sorted()
        .forEach(it -> changes.add("service " + it + " is removed"));
    after.stream()
        .filter(it -> !before.contains(it))
        .sorted()
        .forEach(it -> changes.add("service " + it + " is added"));
  }

  private void compareLimits() {
    CallerLimits before = from.limits();
    CallerLimits after = to.limits();
    compare("limit of a head, bytes", before.headerBytes(), after.headerBytes());
    compare("limit of a body, bytes", before.bodyBytes(), after.bodyBytes());
    compare("time for a head, ms", before.headerTimeoutMillis(), after.headerTimeoutMillis());
    compare("idle timeout, ms", before.idleTimeoutMillis(), after.idleTimeoutMillis());
  }

  private void compare(String what, Object before, Object after) {
    if (!before.equals(after)) {
      changes.add(what + ": " + before + " -> " + after);
    }
  }

  private static <T> Map<String, T> byName(List<T> all, Function<T, String> name) {
    Map<String, T> byName = new LinkedHashMap<>();
    all.forEach(it -> byName.putIfAbsent(name.apply(it), it));
    return byName;
  }
}
