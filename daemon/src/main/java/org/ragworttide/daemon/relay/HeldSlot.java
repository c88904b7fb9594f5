package org.ragworttide.daemon.relay;

import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.decision.Slot;

/**
 * Sees to it that no slot outlives its request, also when the slot comes after the caller has left.
 *
 * <p>Invariant: once closed, every slot handed over is released at once. Safe for use by any
 * thread.
 */
final class HeldSlot {
  private Slot slot;
  private boolean closed;

  /** Takes a slot that an attempt will release with its outcome. */
  void hold(Slot taken) {
    synchronized (this) {
      slot = taken;
      if (!closed) {
        return;
      }
    }
    taken.release(new AttemptOutcome.Cancelled());
  }

  /** Releases the slot that is held, unless its attempt has. */
  void close() {
    Slot last;
    synchronized (this) {
      closed = true;
      last = slot;
    }
    if (last != null) {
      last.release(new AttemptOutcome.Cancelled());
    }
  }
}
