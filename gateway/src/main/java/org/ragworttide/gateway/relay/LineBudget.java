package org.ragworttide.gateway.relay;

/**
 * Bounds how many lines of one kind are logged a second and counts those left out.
 *
 * <p>Invariant: in any second at most twice the allowed lines pass. Confined to one thread.
 */
final class LineBudget {
  private static final long WINDOW_MILLIS = 1_000;

  private final int allowed;
  private long windowStartMillis = Long.MIN_VALUE / 2;
  private int passed;
  private long leftOut;

  /** Creates a budget of lines a second. */
  LineBudget(int allowed) {
    this.allowed = allowed;
  }

  /** Tells whether a line may be logged now. */
  boolean tryPass(long nowMillis) {
    if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
      windowStartMillis = nowMillis;
      passed = 0;
    }
    if (passed >= allowed) {
      leftOut++;
      return false;
    }
    passed++;
    return true;
  }

  /** Returns how many lines were left out since the last call. */
  long takeLeftOut() {
    long count = leftOut;
    leftOut = 0;
    return count;
  }
}
