package org.ragworttide.coordination.routing;

/**
 * This daemon's place among the live daemons.
 *
 * <p>Invariant: 0 &lt;= rank &lt; daemons. Immutable, safe for use by any thread.
 *
 * @param daemons how many daemons are live
 * @param rank this daemon's place in the list of live daemons, sorted by id
 */
record FleetShare(int daemons, int rank) {

  /**
   * Returns what to add to a fractional bound before it is cut to a whole number.
   *
   * <p>The offsets of all daemons for one upstream are spread evenly over [0, 1), so that the sum
   * of the whole bounds differs from the sum of the fractional ones by less than one when the
   * fractions are equal.
   */
  double roundingOffset(long upstreamHash) {
    double start = (upstreamHash >>> 11) * 0x1.0p-53;
    double offset = start + (double) rank / daemons;
    return offset - Math.floor(offset);
  }

  /**
   * Returns for how many starts in the whole fleet one own unreported start stands.
   *
   * @param meanUnreported own unreported starts an upstream in the mean
   */
  double scale(double meanUnreported) {
    return 1 + (daemons - 1) * meanUnreported / (meanUnreported + 1);
  }
}
