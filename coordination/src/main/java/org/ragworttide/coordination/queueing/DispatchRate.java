package org.ragworttide.coordination.queueing;

/**
 * Measures how fast a queue that holds work back sends requests on.
 *
 * <p>Invariants: only time in which work was held back counts, since an empty queue says nothing
 * about what the upstreams can take; the estimate is the time over the count, both fading alike, so
 * irregular gaps do not lengthen it; one request more than counted is assumed, so a single gap does
 * not decide. Confined to the coordination thread.
 */
final class DispatchRate {
  private final long windowMillis;
  private boolean held;
  private long lastMillis;
  private double heldMillis;
  private double dispatched;

  DispatchRate(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Notes that work had to wait. */
  void held(long nowMillis) {
    if (held) {
      countUpTo(nowMillis);
    }
    held = true;
    lastMillis = nowMillis;
  }

  /** Notes that a request was sent on. */
  void dispatched(long nowMillis) {
    if (held) {
      countUpTo(nowMillis);
      dispatched++;
    }
  }

  /** Notes that nothing waits any more. */
  void idle() {
    held = false;
  }

  /** Returns how long it takes to send so many requests on. */
  long millisFor(long requests, long nowMillis) {
    long sinceLast = held ? nowMillis - lastMillis : 0;
    double keep = Math.exp((double) -sinceLast / windowMillis);
    return (long) (requests * (heldMillis * keep + sinceLast) / (dispatched * keep + 1));
  }

  private void countUpTo(long nowMillis) {
    long sinceLast = nowMillis - lastMillis;
    double keep = Math.exp((double) -sinceLast / windowMillis);
    heldMillis = heldMillis * keep + sinceLast;
    dispatched *= keep;
    lastMillis = nowMillis;
  }
}
