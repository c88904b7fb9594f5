package org.ragworttide.coordination.zones;

/**
 * What callers have lost by waiting for a plain service, by requests that were sent to upstreams of
 * the own zone and to those of other zones.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param nearRequests requests to upstreams of the own zone
 * @param nearMillis the sum of their losses in milliseconds
 * @param farRequests requests to upstreams of other zones
 * @param farMillis the sum of their losses in milliseconds
 */
public record ZoneLosses(int nearRequests, int nearMillis, int farRequests, int farMillis) {
  /** No request. */
  public static final ZoneLosses NONE = new ZoneLosses(0, 0, 0, 0);

  /** Checks the ranges. */
  public ZoneLosses {
    if (nearRequests < 0 || nearMillis < 0 || farRequests < 0 || farMillis < 0) {
      throw new IllegalArgumentException("counts and losses must not be negative");
    }
  }

  /** Returns the sum of two. */
  public ZoneLosses plus(ZoneLosses other) {
    return new ZoneLosses(
        bounded(nearRequests, other.nearRequests),
        bounded(nearMillis, other.nearMillis),
        bounded(farRequests, other.farRequests),
        bounded(farMillis, other.farMillis));
  }

  /** Returns the sum, or the largest number: statements of other VMs may hold any numbers. */
  private static int bounded(int one, int other) {
    return (int) Math.min(Integer.MAX_VALUE, (long) one + other);
  }

  /** Returns the number of requests. */
  public int requests() {
    return bounded(nearRequests, farRequests);
  }

  double nearMean() {
    return nearRequests == 0 ? 0 : (double) nearMillis / nearRequests;
  }

  double farMean() {
    return farRequests == 0 ? 0 : (double) farMillis / farRequests;
  }
}
