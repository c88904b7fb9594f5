package org.ragworttide.coordination.admission;

/**
 * Tells from the times to the first token which answers are far slower than this daemon's usual
 * slowest, whatever the usual spread is.
 *
 * <p>Invariant: the bound follows the 99th percentile of all upstreams' answers, so that a single
 * slow upstream hardly moves it. Confined to the coordination thread.
 */
final class FirstTokenMonitor {
  private static final int LEARNING_SAMPLES = 20;
  private static final double QUANTILE = 0.99;
  private static final double STEP = 0.2;

  private final double slowFactor;
  private final long floorMillis;
  private double quantileMillis;
  private long samples;

  /** Creates a monitor for which no answer that begins before the floor is slow. */
  FirstTokenMonitor(double slowFactor, long floorMillis) {
    this.slowFactor = slowFactor;
    this.floorMillis = floorMillis;
  }

  /** Takes a time to the first token and tells whether it is slow. */
  boolean isSlow(long firstTokenMillis) {
    long millis = Math.max(1, firstTokenMillis);
    samples++;
    if (samples <= LEARNING_SAMPLES) {
      quantileMillis = Math.max(quantileMillis, millis);
      return false;
    }
    boolean slow = millis > slowFactor * quantileMillis && millis > floorMillis;
    if (millis > quantileMillis) {
      quantileMillis *= 1 + STEP * QUANTILE * (slow ? 0.1 : 1);
    } else {
      quantileMillis *= 1 - STEP * (1 - QUANTILE);
    }
    return slow;
  }
}
