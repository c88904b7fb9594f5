package org.ragworttide.coordination.limits;

/**
 * Allows for clocks of different VMs that run at slightly different rates.
 *
 * <p>Invariant: every result is safe for clocks that are off by at most {@link
 * #MAX_ERROR_PARTS_PER_MILLION} each. Stateless, safe for use by any thread.
 */
final class ClockRate {
  static final long MAX_ERROR_PARTS_PER_MILLION = 1_000;
  private static final long MILLION = 1_000_000;
  private static final long GRANULARITY_MILLIS = 2;
  private static final long MAX_DURATION_MILLIS = 86_400_000;

  private ClockRate() {}

  /** Returns the rate at which a fast clock still refills no more than the given rate. */
  static long slowed(long nanosPerMilli) {
    return nanosPerMilli / MILLION * (MILLION - MAX_ERROR_PARTS_PER_MILLION)
        + nanosPerMilli % MILLION * (MILLION - MAX_ERROR_PARTS_PER_MILLION) / MILLION;
  }

  /** Returns how long to wait here until a duration is over on a slow clock elsewhere. */
  static long stretched(long millis) {
    long slow = MILLION - MAX_ERROR_PARTS_PER_MILLION;
    long fast = MILLION + MAX_ERROR_PARTS_PER_MILLION;
    return (millis * fast + slow - 1) / slow + GRANULARITY_MILLIS;
  }

  /** Returns a duration of at most a day that is over on a slow clock elsewhere in time. */
  static long shortened(long millis) {
    long slow = MILLION - MAX_ERROR_PARTS_PER_MILLION;
    long fast = MILLION + MAX_ERROR_PARTS_PER_MILLION;
    long bounded = Math.min(millis, MAX_DURATION_MILLIS);
    return Math.max(0, (bounded - GRANULARITY_MILLIS) * slow / fast - 1);
  }
}
