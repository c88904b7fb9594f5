package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * Admits requests by the permits that this VM holds and closes those that are used up.
 *
 * <p>Not safe for use by several threads.
 */
final class PermitUse {
  private final AskOutbox outbox;
  private final LimitVerdicts verdicts;

  PermitUse(AskOutbox outbox, LimitVerdicts verdicts) {
    this.outbox = outbox;
    this.verdicts = verdicts;
  }

  /** Admits the request if a permit has a token for it; returns whether one had. */
  boolean use(HolderAccount account, Waiter waiter, long nowMillis) {
    List<Permit> closed = new ArrayList<>(1);
    boolean used = account.usePermit(waiter.request(), nowMillis, closed);
    int delayMillis =
        account.isScarce() ? LimitTimes.BATCH_DELAY_MILLIS : LimitTimes.CLOSE_DELAY_MILLIS;
    closed.forEach(permit -> outbox.close(permit.owner(), permit.close(), delayMillis));
    if (used) {
      verdicts.admit(waiter);
    }
    return used;
  }
}
