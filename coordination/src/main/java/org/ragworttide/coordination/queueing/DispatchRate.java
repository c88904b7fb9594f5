package org.ragworttide.coordination.queueing;

/**
 * Measures how fast a queue that holds work back sends requests on.
 *
 * <p>Invariant: only time in which work was held back counts, since an empty queue says nothing
 * about what the upstreams can take, and that time is shared by all requests sent on after it; both
 * fade over the window. Confined to the coordination thread.
 */
final class DispatchRate {
  private final long windowMillis;
  private boolean held;
  private long lastMillis;
  private double heldMillis;
  private double requests;
  private double pendingMillis;

  DispatchRate(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Notes that work had to wait. */
  void held(long nowMillis) {
    if (held) {
      pendingMillis += nowMillis - lastMillis;
    }
    held = true;
    lastMillis = nowMillis;
  }

  /** Notes that a request was sent on. */
  void dispatched(long nowMillis) {
    if (!held) {
      return;
    }
    pendingMillis += nowMillis - lastMillis;
    lastMillis = nowMillis;
    double kept = Math.exp(-pendingMillis / windowMillis);
    heldMillis = heldMillis * kept + pendingMillis;
    requests = requests * kept + 1;
    pendingMillis = 0;
  }

  /** Notes that nothing waits any more. */
  void idle() {
    held = false;
    pendingMillis = 0;
  }

  /** Returns how long it takes to send so many requests on. */
  long millisFor(long count) {
    return requests == 0 ? 0 : (long) (count * heldMillis / requests);
  }
}
