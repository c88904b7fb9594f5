package org.ragworttide.gateway.model;

import java.util.List;

/**
 * A version of the operator's configuration.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param version the version, which only grows
 * @param routes the routes
 * @param services the services
 * @param limits what callers may send
 * @param organisations the organisations; without any, no request needs a key
 */
public record Configuration(
    long version,
    List<Route> routes,
    List<ServicePolicy> services,
    CallerLimits limits,
    List<Organisation> organisations) {

  /** Copies the lists. */
  public Configuration {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    organisations = List.copyOf(organisations);
  }
}
