package org.ragworttide.coordination.limits;

import org.ragworttide.coordination.time.TimerService;

/**
 * Tells the outcomes of requests, counts them and remembers the admitted ones for their retries.
 *
 * <p>Invariant: a waiter that is decided already is neither told nor counted again. Not safe for
 * use by several threads.
 */
final class LimitVerdicts {
  private final TimerService time;
  private final LimitTally tally;
  private final RequestMemory memory;

  LimitVerdicts(TimerService time, LimitTally tally, long retryWindowMillis) {
    this.time = time;
    this.tally = tally;
    this.memory = new RequestMemory(retryWindowMillis);
  }

  /** Returns whether the request was counted here before, and uses up one of its retries. */
  boolean useRetry(long request) {
    return memory.useRetry(request, time.nowMillis());
  }

  void admit(Waiter waiter) {
    memory.remember(waiter.request(), time.nowMillis());
    tally.admitted();
    waiter.decide(new LimitDecision.Admitted(false));
  }

  void admitFromReserve(Waiter waiter) {
    tally.fromReserve();
    admit(waiter);
  }

  void admitRetry(Waiter waiter) {
    tally.retry();
    waiter.decide(new LimitDecision.Admitted(true));
  }

  void refuse(Waiter waiter, LimitDecision.Refused latest) {
    tally.refused();
    waiter.decide(waiter.firstRefusal().orElse(latest));
  }
}
