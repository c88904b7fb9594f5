package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * Admits requests using the permits that this VM holds and closes exhausted permits.
 *
 * <p>Not safe for use by several threads.
 */
final class PermitAdmission {
  private final AskOutbox outbox;
  private final DecisionRecorder decisions;

  PermitAdmission(AskOutbox outbox, DecisionRecorder decisions) {
    this.outbox = outbox;
    this.decisions = decisions;
  }

  /** Admits the request if a permit has a token for it; returns whether one had. */
  boolean tryUse(HolderAccount account, Waiter waiter, long nowMillis) {
    List<Permit> closed = new ArrayList<>(1);
    boolean used = account.tryUsePermit(waiter.request(), nowMillis, closed);
    int delayMillis =
        account.isScarce() ? LimitTimes.BATCH_DELAY_MILLIS : LimitTimes.CLOSE_DELAY_MILLIS;
    closed.forEach(permit -> outbox.addClose(permit.owner(), permit.close(), delayMillis));
    if (used) {
      decisions.admit(waiter);
    }
    return used;
  }
}
