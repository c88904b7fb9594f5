package org.ragworttide.gateway.model;

import java.util.List;

/**
 * Where requests of a host and path prefix go and how they may be treated.
 *
 * <p>Invariant: at least one share; at least one attempt. Immutable, safe for use by any thread.
 *
 * @param name the route's name
 * @param host the host that callers name, in lower case
 * @param pathPrefix the beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis how long a request may take, 0 for no bound
 * @param targetLatencyMillis the latency objective
 * @param maxAttempts to how many upstreams one request may be sent
 * @param priority the rank, 0 is the most urgent
 * @param open whether requests need no key
 * @param shares the services, with their weights
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    long timeoutMillis,
    long targetLatencyMillis,
    int maxAttempts,
    int priority,
    boolean open,
    List<ServiceShare> shares) {

  /** Checks the ranges. */
  public Route {
    shares = List.copyOf(shares);
    if (shares.isEmpty() || maxAttempts < 1 || timeoutMillis < 0) {
      throw new IllegalArgumentException("route " + name + " is out of range");
    }
  }

  /** Returns the service for a request, the same for the same hash. */
  public ServiceName service(long requestHash) {
    double total = 0;
    for (ServiceShare share : shares) {
      total += share.weight();
    }
    double left = (requestHash >>> 1) / (double) Long.MAX_VALUE * total;
    for (ServiceShare share : shares) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return shares.getLast().service();
  }

  /**
   * A service's share of a route.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param service the service
   * @param weight its weight among the route's services, not negative
   */
  public record ServiceShare(ServiceName service, double weight) {

    /** Checks the range. */
    public ServiceShare {
      if (!(weight >= 0)) {
        throw new IllegalArgumentException("weight must not be negative");
      }
    }
  }
}
