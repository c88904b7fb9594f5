package org.ragworttide.gateway.model;

import java.util.List;

/**
 * A version of the operator's configuration.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param version the version number, which never decreases
 * @param routes the routes
 * @param services the services
 * @param limits the limits on requests and connections of callers
 * @param organisations the organisations; if there is none, no request needs a key
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
