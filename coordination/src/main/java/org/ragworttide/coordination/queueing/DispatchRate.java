package org.ragworttide.coordination.queueing;

/**
 * Measures how fast a queue that holds work back sends requests on.
 *
 * <p>Invariants: only time between two requests that were sent on while others waited counts, since
 * neither an empty queue nor the wait for the first request says what the upstreams can take; the
 * estimate is the time over the count, both fading alike, so irregular gaps do not lengthen it; one
 * request more than counted is assumed, so a single gap does not decide; the time since the last
 * request counts once for all that wait. Confined to the coordination thread.
 */
final class DispatchRate {
  private final long windowMillis;
  private boolean held;
  private boolean sendsOn;
  private long lastMillis;
  private double heldMillis;
  private double dispatched;

  DispatchRate(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Notes that work had to wait. */
  void held(long nowMillis) {
    if (!held) {
      held = true;
      sendsOn = false;
      lastMillis = nowMillis;
    }
  }

  /** Notes that a request was sent on. */
  void dispatched(long nowMillis) {
    if (held) {
      countUpTo(nowMillis);
      dispatched++;
      sendsOn = true;
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
    return sinceLast + (long) (requests * heldMillis * keep / (dispatched * keep + 1));
  }

  private void countUpTo(long nowMillis) {
    long sinceLast = nowMillis - lastMillis;
    double keep = Math.exp((double) -sinceLast / windowMillis);
    heldMillis = heldMillis * keep + (sendsOn ? sinceLast : 0);
    dispatched *= keep;
    lastMillis = nowMillis;
  }
}
