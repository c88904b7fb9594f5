package org.ragworttide.coordination.admission;

/**
 * Detector of answers whose time to the first token is far above this daemon's usual slowest,
 * whatever the usual spread is.
 *
 * <p>Invariant: the bound follows the 99th percentile of all upstreams' answers, so that a single
 * slow upstream hardly moves it. Confined to the coordination thread.
 */
final class FirstTokenMonitor {
  private static final int LEARNING_SAMPLES = 20;
  private static final double TRACKED_QUANTILE = 0.99;
  private static final double ADJUSTMENT_STEP = 0.2;

  private final double slowFactor;
  private final long floorMillis;
  private double quantileMillis;
  private long samples;

  /** Creates a monitor to which no answer that begins before the floor is slow. */
  FirstTokenMonitor(double slowFactor, long floorMillis) {
    this.slowFactor = slowFactor;
    this.floorMillis = floorMillis;
  }

  /** Records a time to the first token and returns whether it is slow. */
  boolean isSlow(long firstTokenMillis) {
    long millis = Math.max(1, firstTokenMillis);
    samples++;
    if (samples <= LEARNING_SAMPLES) {
      quantileMillis = Math.max(quantileMillis, millis);
      return false;
    }
    boolean slow = millis > slowFactor * quantileMillis && millis > floorMillis;
    if (millis > quantileMillis) {
      quantileMillis *= 1 + ADJUSTMENT_STEP * TRACKED_QUANTILE * (slow ? 0.1 : 1);
    } else {
      quantileMillis *= 1 - ADJUSTMENT_STEP * (1 - TRACKED_QUANTILE);
    }
    return slow;
  }
}
