package org.ragworttide.gateway.relay;

/**
 * Limits how many lines of one event are logged per second and counts the suppressed ones.
 *
 * <p>Invariant: at most twice the allowed number of lines is logged in any second. Confined to one
 * thread.
 */
final class LineBudget {
  private static final long WINDOW_MILLIS = 1_000;

  private final int allowedPerSecond;
  private long windowStartMillis = Long.MIN_VALUE / 2;
  private int logged;
  private long suppressed;

  /** Creates a budget that allows the given number of lines per second. */
  LineBudget(int allowedPerSecond) {
    this.allowedPerSecond = allowedPerSecond;
  }

  /** Returns whether a line may be logged now, and counts it as logged or suppressed. */
  boolean tryAcquire(long nowMillis) {
    if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
      windowStartMillis = nowMillis;
      logged = 0;
    }
    if (logged >= allowedPerSecond) {
      suppressed++;
      return false;
    }
    logged++;
    return true;
  }

  /** Returns how many lines were suppressed since the last call. */
  long takeSuppressedCount() {
    long count = suppressed;
    suppressed = 0;
    return count;
  }
}
