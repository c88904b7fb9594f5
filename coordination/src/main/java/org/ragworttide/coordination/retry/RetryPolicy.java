package org.ragworttide.coordination.retry;

/**
 * Decides whether a failed request is run again, resumed or ended.
 *
 * <p>Invariants: a request that is not idempotent is never run again once a byte of it may have
 * reached an upstream; an answer of which the caller has a part is only resumed, never begun again.
 * Safe for use by any thread.
 */
public final class RetryPolicy {
  private final RetryBudget budget;
  private final int maxAttempts;

  /**
   * Creates a policy.
   *
   * @param budget limits the retries and resumptions of this daemon
   * @param maxAttempts attempts for one request at most
   */
  public RetryPolicy(RetryBudget budget, int maxAttempts) {
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts must be positive");
    }
    this.budget = budget;
    this.maxAttempts = maxAttempts;
  }

  /** Decides about a request that has just failed; takes a retry out of the budget if used. */
  public NextStep decide(FailedAttempt attempt) {
    boolean repeatable = attempt.idempotent() || !attempt.sent();
    boolean begun = attempt.relayed() > 0;
    boolean inTime = attempt.nowMillis() < attempt.deadlineMillis();
    boolean allowed = repeatable && (!begun || attempt.resumable());
    if (allowed && inTime && attempt.failed() < maxAttempts && budget.tryRetry()) {
      return begun ? new NextStep.Resume(attempt.relayed()) : new NextStep.Retry();
    }
    return attempt.sent() ? new NextStep.EndMayHaveRun() : new NextStep.EndNotRun();
  }
}
