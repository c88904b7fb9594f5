package org.ragworttide.daemon.caller;

import org.ragworttide.daemon.relay.InFlightCounter;

/**
 * Whether the listener is being stopped, and the requests it still serves.
 *
 * <p>Invariant: once begun, a drain does not end. Safe for use by any thread.
 */
final class Drain {
  private final InFlightCounter requests = new InFlightCounter();
  private volatile boolean begun;

  void begin() {
    begun = true;
  }

  boolean begun() {
    return begun;
  }

  InFlightCounter requests() {
    return requests;
  }
}
