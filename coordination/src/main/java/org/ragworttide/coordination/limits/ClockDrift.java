package org.ragworttide.coordination.limits;

/**
 * Converts rates and durations so that they are safe although the clocks of different VMs drift.
 *
 * <p>Invariant: every result is safe as long as the rate of each clock is off by at most {@link
 * #MAX_ERROR_PARTS_PER_MILLION}. Stateless, safe for use by any thread.
 */
final class ClockDrift {
  static final long MAX_ERROR_PARTS_PER_MILLION = 1_000;
  private static final long MILLION = 1_000_000;
  private static final long GRANULARITY_MILLIS = 2;
  private static final long MAX_DURATION_MILLIS = 86_400_000;

  private ClockDrift() {}

  /** Returns the rate that refills no more than the given rate even on a fast clock. */
  static long slowed(long nanosPerMilli) {
    return nanosPerMilli / MILLION * (MILLION - MAX_ERROR_PARTS_PER_MILLION)
        + nanosPerMilli % MILLION * (MILLION - MAX_ERROR_PARTS_PER_MILLION) / MILLION;
  }

  /**
   * Returns how long to wait on this clock until a duration has passed even on a slow remote clock.
   */
  static long stretched(long millis) {
    long slow = MILLION - MAX_ERROR_PARTS_PER_MILLION;
    long fast = MILLION + MAX_ERROR_PARTS_PER_MILLION;
    return (millis * fast + slow - 1) / slow + GRANULARITY_MILLIS;
  }

  /**
   * Returns a duration, at most a day, that passes even on a slow remote clock before the given
   * duration has passed on this one.
   */
  static long shortened(long millis) {
    long slow = MILLION - MAX_ERROR_PARTS_PER_MILLION;
    long fast = MILLION + MAX_ERROR_PARTS_PER_MILLION;
    long bounded = Math.min(millis, MAX_DURATION_MILLIS);
    return Math.max(0, (bounded - GRANULARITY_MILLIS) * slow / fast - 1);
  }
}
