package org.ragworttide.coordination.queueing;

/**
 * Measures the rate at which a queue dispatches requests while others wait.
 *
 * <p>Invariants: only the time between two dispatches while other requests waited counts, because
 * neither an empty queue nor the wait for the first dispatch indicates the capacity of the
 * upstreams; the estimate is the sum of the times divided by the number of dispatches, and both
 * decay alike, so irregular gaps do not lengthen it; the divisor is one greater than the number of
 * dispatches, so that a single gap does not determine the estimate; the time since the last
 * dispatch is added once and not per waiting request. Confined to the coordination thread.
 */
final class DispatchRate {
  private final long windowMillis;
  private boolean holding;
  private boolean hasDispatched;
  private long lastMillis;
  private double heldMillis;
  private double dispatchCount;

  DispatchRate(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Records the start of a hold, a time in which requests have to wait. */
  void startHold(long nowMillis) {
    if (!holding) {
      holding = true;
      hasDispatched = false;
      lastMillis = nowMillis;
    }
  }

  /** Records that a request was dispatched. */
  void recordDispatch(long nowMillis) {
    if (holding) {
      decayUpTo(nowMillis);
      dispatchCount++;
      hasDispatched = true;
    }
  }

  /** Records the end of the hold: no request waits any more. */
  void endHold() {
    holding = false;
  }

  /** Returns the estimated time until the given number of requests is dispatched. */
  long millisFor(long requests, long nowMillis) {
    long sinceLastMillis = holding ? nowMillis - lastMillis : 0;
    double decay = Math.exp((double) -sinceLastMillis / windowMillis);
    return sinceLastMillis + (long) (requests * heldMillis * decay / (dispatchCount * decay + 1));
  }

  private void decayUpTo(long nowMillis) {
    long sinceLastMillis = nowMillis - lastMillis;
    double decay = Math.exp((double) -sinceLastMillis / windowMillis);
    heldMillis = heldMillis * decay + (hasDispatched ? sinceLastMillis : 0);
    dispatchCount *= decay;
    lastMillis = nowMillis;
  }
}
