package org.ragworttide.coordination.admission;

/**
 * Detector of answers whose time to the first token is far above the 99th percentile that this
 * daemon observes, so that the usual spread does not matter.
 *
 * <p>Invariant: the bound follows the 99th percentile of all recorded answers, and slow answers
 * raise it less, so that a single slow upstream hardly moves it. Confined to the coordination
 * thread.
 */
final class FirstTokenMonitor {
  private static final int LEARNING_SAMPLES = 20;
  private static final double TRACKED_QUANTILE = 0.99;
  private static final double ADJUSTMENT_STEP = 0.2;

  private final double slowFactor;
  private final long floorMillis;
  private double quantileMillis;
  private long samples;

  /** Creates a monitor for which no answer that begins before the floor is slow. */
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
