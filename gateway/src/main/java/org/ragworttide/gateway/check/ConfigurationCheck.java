package org.ragworttide.gateway.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragworttide.gateway.model.CallerLimits;
import org.ragworttide.gateway.model.Configuration;
import org.ragworttide.gateway.model.Organisation;
import org.ragworttide.gateway.model.Route;
import org.ragworttide.gateway.model.RouteKind;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.ServicePolicy;

/**
 * Finds errors, entries without effect and contradictory limits in a configuration.
 *
 * <p>Invariant: findings name keys by their position only. Confined to one thread, for one
 * configuration.
 */
public final class ConfigurationCheck {
  private final Configuration configuration;
  private final List<Finding> findings = new ArrayList<>();

  private ConfigurationCheck(Configuration configuration) {
    this.configuration = configuration;
  }

  /** Returns what is found, in the order of the configuration. */
  public static List<Finding> of(Configuration configuration) {
    ConfigurationCheck check = new ConfigurationCheck(configuration);
    check.checkNames();
    check.checkMatching();
    configuration.routes().forEach(check::checkTimes);
    configuration.routes().forEach(check::checkServices);
    check.checkUnusedServices();
    check.checkOrganisations();
    check.checkLimits(configuration.limits());
    return List.copyOf(check.findings);
  }

  private void checkNames() {
    reportTwice("route", configuration.routes().stream().map(Route::name).toList());
    reportTwice("service", configuration.services().stream().map(it -> it.name().value()).toList());
    reportTwice(
        "organisation", configuration.organisations().stream().map(Organisation::name).toList());
  }

  private void reportTwice(String kind, List<String> names) {
    Set<String> seen = new HashSet<>();
    for (String name : names) {
      if (!seen.add(name)) {
        findings.add(Finding.error(kind + " " + name, "another " + kind + " has the same name"));
      }
    }
  }

  private void checkMatching() {
    Map<String, Route> first = new HashMap<>();
    for (Route route : configuration.routes()) {
      Route earlier = first.putIfAbsent(route.host() + route.pathPrefix(), route);
      if (earlier != null) {
        findings.add(
            Finding.error(
                place(route),
                "never matches: route " + earlier.name() + " has the same host and path prefix"));
      }
    }
  }

  private void checkTimes(Route route) {
    long timeout = route.timeoutMillis();
    long objective = route.targetLatencyMillis();
    if (timeout > 0 && objective > timeout) {
      findings.add(
          Finding.warning(
              place(route),
              "the latency objective of "
                  + objective
                  + " ms is longer than the timeout of "
                  + timeout
                  + " ms"));
    }
    if (route.maxAttempts() > 1 && !route.kind().isRepeatable()) {
      findings.add(
          Finding.warning(
              place(route),
              "allows " + route.maxAttempts() + " attempts, but its requests may run only once"));
    } else if (timeout > 0
        && objective > 0
        && objective <= timeout
        && route.maxAttempts() * objective > timeout) {
      findings.add(
          Finding.warning(
              place(route),
              route.maxAttempts()
                  + " attempts of "
                  + objective
                  + " ms do not fit the timeout of "
                  + timeout
                  + " ms"));
    }
  }

  private void checkServices(Route route) {
    Set<ServiceName> known = new HashSet<>();
    configuration.services().forEach(it -> known.add(it.name()));
    double total = 0;
    for (Route.ServiceShare share : route.shares()) {
      total += share.weight();
      if (!known.contains(share.service())) {
        findings.add(Finding.error(place(route), "service " + share.service() + " is not defined"));
      }
    }
    if (total == 0) {
      findings.add(Finding.error(place(route), "the weights of all its services are 0"));
      return;
    }
    for (Route.ServiceShare share : route.shares()) {
      if (share.weight() == 0) {
        findings.add(
            Finding.warning(
                place(route), "service " + share.service() + " has weight 0, so it gets nothing"));
      }
    }
  }

  private void checkUnusedServices() {
    Set<ServiceName> used = new HashSet<>();
    configuration.routes().forEach(it -> it.shares().forEach(share -> used.add(share.service())));
    for (ServicePolicy service : configuration.services()) {
      if (!used.contains(service.name())) {
        findings.add(Finding.warning("service " + service.name(), "no route leads to it"));
      }
    }
  }

  private void checkOrganisations() {
    Map<String, String> owners = new HashMap<>();
    for (Organisation organisation : configuration.organisations()) {
      String place = "organisation " + organisation.name();
      if (organisation.keys().isEmpty()) {
        findings.add(Finding.warning(place, "has no key, so it has no access"));
      }
      int position = 0;
      for (String key : organisation.keys()) {
        position++;
        String owner = owners.putIfAbsent(key, organisation.name());
        if (key.isBlank()) {
          findings.add(Finding.error(place, "key " + position + " is empty"));
        } else if (owner != null) {
          findings.add(
              Finding.error(place, "key " + position + " is a key of organisation " + owner));
        }
      }
    }
    if (configuration.organisations().isEmpty() && !configuration.routes().isEmpty()) {
      findings.add(Finding.warning("organisations", "there is none, so no request needs a key"));
    }
  }

  private void checkLimits(CallerLimits limits) {
    if (limits.headerTimeoutMillis() > limits.idleTimeoutMillis()) {
      findings.add(
          Finding.warning(
              "limits",
              "the time for a head, "
                  + limits.headerTimeoutMillis()
                  + " ms, is longer than the idle timeout, "
                  + limits.idleTimeoutMillis()
                  + " ms"));
    }
    for (Route route : configuration.routes()) {
      boolean waits =
          route.kind() != RouteKind.STREAM && route.kind() != RouteKind.RESUMABLE_STREAM;
      if (waits && route.timeoutMillis() > limits.idleTimeoutMillis()) {
        findings.add(
            Finding.warning(
                place(route),
                "the timeout of "
                    + route.timeoutMillis()
                    + " ms is longer than the idle timeout of connections, "
                    + limits.idleTimeoutMillis()
                    + " ms"));
      }
    }
  }

  private static String place(Route route) {
    return "route " + route.name();
  }
}
