package org.ragworttide.coordination.limits;

/**
 * Estimates the recent request rate of one organisation on this VM.
 *
 * <p>Invariant: the estimate halves in every half-life without requests. Not safe for use by
 * several threads.
 */
final class DemandRate {
  private static final double HALF_LIFE_MILLIS = 1_000;
  private static final double DECAY_PER_MILLI = Math.log(2) / HALF_LIFE_MILLIS;

  private double weight;
  private long updatedMillis;

  DemandRate(long nowMillis) {
    this.updatedMillis = nowMillis;
  }

  void record(long nowMillis) {
    decay(nowMillis);
    weight += 1;
  }

  /** Returns the number of requests expected within the given time. */
  int expectedWithin(long millis, long nowMillis) {
    decay(nowMillis);
    return (int) (weight * DECAY_PER_MILLI * millis);
  }

  private void decay(long nowMillis) {
    long elapsed = nowMillis - updatedMillis;
    if (elapsed > 0) {
      weight *= Math.exp(-DECAY_PER_MILLI * elapsed);
      updatedMillis = nowMillis;
    }
  }
}
