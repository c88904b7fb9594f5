package org.ragworttide.coordination.admission;

/**
 * Admission parameters of an upstream that publishes no load, such as a plain service.
 *
 * <p>Invariant: the shares of all daemons together are at most a quarter of the cold limit.
 * Immutable, safe for use by any thread.
 *
 * @param longestRunMillis the maximum time that a request can run there
 * @param share the number of requests that each daemon may run there without a permit while it is
 *     cold
 * @param reserved the sum of the shares of as many daemons as can run at one time
 */
public record UpstreamWithoutLoadReports(long longestRunMillis, int share, int reserved) {
  private static final int RESERVED_DIVISOR = 4;

  /** Checks the arguments. */
  public UpstreamWithoutLoadReports {
    if (longestRunMillis <= 0 || share < 0 || reserved < share) {
      throw new IllegalArgumentException("run time must be positive and share in [0, reserved]");
    }
  }

  /**
   * Divides a quarter of the cold limit evenly between daemons; in a large fleet a share is zero.
   */
  public static UpstreamWithoutLoadReports of(
      int coldLimit, int maxDaemons, long longestRunMillis) {
    int share = coldLimit / RESERVED_DIVISOR / maxDaemons;
    return new UpstreamWithoutLoadReports(longestRunMillis, share, share * maxDaemons);
  }
}
