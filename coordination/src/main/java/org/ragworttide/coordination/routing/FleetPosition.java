package org.ragworttide.coordination.routing;

/**
 * Position of this daemon among the live daemons.
 *
 * <p>Invariant: 0 &lt;= rank &lt; daemons. Immutable, safe for use by any thread.
 *
 * @param daemons how many daemons are live
 * @param rank this daemon's index in the list of live daemons, sorted by id
 */
record FleetPosition(int daemons, int rank) {

  /**
   * Returns the offset that is added to a fractional bound before it is rounded down.
   *
   * <p>The offsets of all daemons for one upstream are spread evenly over [0, 1), so that the sum
   * of the rounded bounds differs from the sum of the fractional ones by less than one when the
   * fractions are equal.
   */
  double roundingOffset(long upstreamHash) {
    double start = (upstreamHash >>> 11) * 0x1.0p-53;
    double offset = start + (double) rank / daemons;
    return offset - Math.floor(offset);
  }

  /**
   * Returns the estimated number of starts in the whole fleet per unreported start of this daemon.
   *
   * @param meanUnreported mean number of unreported starts of this daemon per upstream
   */
  double scale(double meanUnreported) {
    return 1 + (daemons - 1) * meanUnreported / (meanUnreported + 1);
  }
}
