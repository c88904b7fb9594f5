package org.ragworttide.daemon.relay;

import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.decision.Slot;

/**
 * Holder of the slot of a request, which ensures that no slot outlives its request, even if the
 * placement returns one after the caller has disconnected.
 *
 * <p>Invariant: once closed, the holder releases every further slot immediately. Safe for use by
 * any thread.
 */
final class HeldSlot {
  private Slot slot;
  private boolean closed;

  /** Stores a slot that an attempt will release with its outcome. */
  void hold(Slot placedSlot) {
    synchronized (this) {
      slot = placedSlot;
      if (!closed) {
        return;
      }
    }
    placedSlot.release(new AttemptOutcome.Cancelled());
  }

  /** Releases the current slot, unless its attempt has already released it. */
  void close() {
    Slot held;
    synchronized (this) {
      closed = true;
      held = slot;
    }
    if (held != null) {
      held.release(new AttemptOutcome.Cancelled());
    }
  }
}
