package org.ragworttide.gateway.model;

import java.util.List;

/**
 * Rule for the requests of a host and path prefix: the services that they go to, their limits and
 * which of them may be repeated.
 *
 * <p>Invariant: a route has at least one service share and allows at least one attempt. Immutable,
 * safe for use by any thread.
 *
 * @param name the route's name
 * @param host the host name in the requests of callers, in lower case
 * @param pathPrefix the prefix of the path, which begins and ends with a slash
 * @param kind the kind of its requests, which determines whether they may be repeated
 * @param timeoutMillis the longest duration of a request, 0 for no limit
 * @param targetLatencyMillis the latency objective
 * @param maxAttempts the largest number of attempts that may run one request; attempts that are
 *     known not to have run it are not counted
 * @param priority the priority of its requests, 0 is the most urgent
 * @param allowsUnauthenticated whether requests need no key
 * @param shares the services and their weights
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
    boolean allowsUnauthenticated,
    List<ServiceShare> shares) {

  /** Checks the ranges. */
  public Route {
    shares = List.copyOf(shares);
    if (shares.isEmpty() || maxAttempts < 1 || timeoutMillis < 0) {
      throw new IllegalArgumentException(
          "shares, maxAttempts or timeoutMillis of route " + name + " is out of range");
    }
  }

  /** Returns the service for a request; the same hash always selects the same service. */
  public ServiceName service(long requestHash) {
    double totalWeight = 0;
    for (ServiceShare share : shares) {
      totalWeight += share.weight();
    }
    double remaining = (requestHash >>> 1) / (double) Long.MAX_VALUE * totalWeight;
    for (ServiceShare share : shares) {
      remaining -= share.weight();
      if (remaining < 0) {
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
