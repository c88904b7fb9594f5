package org.ragworttide.coordination.queueing;

/**
 * Measures how fast a queue that holds work back sends requests on.
 *
 * <p>Invariant: only time in which work was held back counts, since an empty queue says nothing
 * about what the upstreams can take. Confined to the coordination thread.
 */
final class DispatchRate {
  private final long windowMillis;
  private boolean held;
  private long lastMillis;
  private double millisPerRequest;
  private long pendingMillis;

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
    double weight = Math.min(0.5, Math.max(pendingMillis, 1.0) / windowMillis + 0.02);
    boolean first = millisPerRequest == 0;
    millisPerRequest = first ? pendingMillis : mix(weight);
    pendingMillis = 0;
  }

  /** Notes that nothing waits any more. */
  void idle() {
    held = false;
    pendingMillis = 0;
  }

  /** Returns how long it takes to send so many requests on. */
  long millisFor(long requests) {
    return (long) (requests * millisPerRequest);
  }

  private double mix(double weight) {
    return millisPerRequest + weight * (pendingMillis - millisPerRequest);
  }
}
