package org.ragworttide.daemon.caller;

import org.ragworttide.daemon.relay.InFlightCounter;

/**
 * State of the drain before shutdown: whether it has begun, and the number of requests in progress.
 *
 * <p>Invariant: once begun, a drain is never reverted. Safe for use by any thread.
 */
final class DrainState {
  private final InFlightCounter requests = new InFlightCounter();
  private volatile boolean begun;

  void begin() {
    begun = true;
  }

  boolean hasBegun() {
    return begun;
  }

  InFlightCounter requests() {
    return requests;
  }
}
