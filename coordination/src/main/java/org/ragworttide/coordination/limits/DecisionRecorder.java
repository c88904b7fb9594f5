package org.ragworttide.coordination.limits;

import java.util.List;
import org.ragworttide.coordination.time.TimerService;

/**
 * Reports the decisions on requests, counts them and records the admitted requests for their
 * retries.
 *
 * <p>Invariant: callers pass only waiters that are not decided yet, so that each request is counted
 * and answered once. Not safe for use by several threads.
 */
final class DecisionRecorder {
  private final TimerService time;
  private final LimitEventCounter eventCounter;
  private final CountedRequestCache countedRequests;
  private final CountedRequestNotifier notifier;

  DecisionRecorder(
      TimerService time,
      LimitEventCounter eventCounter,
      long retryWindowMillis,
      CountedRequestNotifier notifier) {
    this.time = time;
    this.eventCounter = eventCounter;
    this.countedRequests = new CountedRequestCache(retryWindowMillis);
    this.notifier = notifier;
  }

  /** Records requests that another VM has counted against its reserve. */
  void recordCountedByPeer(List<Long> requests) {
    requests.forEach(request -> countedRequests.addFromPeer(request, time.nowMillis()));
  }

  /** Returns whether the request was counted here before, and consumes one of its retries. */
  boolean tryUseRetry(long request) {
    return countedRequests.tryUseRetry(request, time.nowMillis());
  }

  void admit(Waiter waiter) {
    countedRequests.add(waiter.request(), time.nowMillis());
    eventCounter.countAdmitted();
    waiter.decide(new LimitDecision.Admitted(false));
  }

  void admitFromReserve(Waiter waiter) {
    eventCounter.countFromReserve();
    notifier.add(waiter.request());
    admit(waiter);
  }

  void admitRetry(Waiter waiter) {
    eventCounter.countRetry();
    waiter.decide(new LimitDecision.Admitted(true));
  }

  void refuse(Waiter waiter, LimitDecision.Refused latest) {
    eventCounter.countRefused();
    waiter.decide(waiter.firstRefusal().orElse(latest));
  }
}
