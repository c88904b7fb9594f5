package org.ragworttide.coordination.admission;

/**
 * What admission needs of an upstream that publishes no load, such as a plain service.
 *
 * <p>Invariant: the shares of all daemons together are at most a quarter of the cold limit.
 * Immutable, safe for use by any thread.
 *
 * @param longestRunMillis how long a request can run there at most
 * @param share how many requests each daemon may have there without a permit while it is cold
 * @param reserved the shares of all daemons that can run at one time
 */
public record UnreportedUpstream(long longestRunMillis, int share, int reserved) {
  private static final int RESERVED_PART = 4;

  /** Checks the arguments. */
  public UnreportedUpstream {
    if (longestRunMillis <= 0 || share < 0 || reserved < share) {
      throw new IllegalArgumentException("run or shares out of range");
    }
  }

  /** Divides a quarter of the cold limit evenly; in a large fleet nothing is left for a share. */
  public static UnreportedUpstream of(int coldLimit, int maxDaemons, long longestRunMillis) {
    int share = coldLimit / RESERVED_PART / maxDaemons;
    return new UnreportedUpstream(longestRunMillis, share, share * maxDaemons);
  }
}
