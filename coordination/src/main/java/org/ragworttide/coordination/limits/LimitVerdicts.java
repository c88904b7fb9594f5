package org.ragworttide.coordination.limits;

import java.util.List;
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
  private final CountedNotices notices;

  LimitVerdicts(
      TimerService time, LimitTally tally, long retryWindowMillis, CountedNotices notices) {
    this.time = time;
    this.tally = tally;
    this.memory = new RequestMemory(retryWindowMillis);
    this.notices = notices;
  }

  /** Remembers requests that another VM has counted against its reserve. */
  void countedElsewhere(List<Long> requests) {
    requests.forEach(request -> memory.rememberElsewhere(request, time.nowMillis()));
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
    notices.add(waiter.request());
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
