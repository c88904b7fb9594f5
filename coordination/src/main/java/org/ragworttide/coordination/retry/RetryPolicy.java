package org.ragworttide.coordination.retry;

/**
 * Policy that decides whether a failed request is run again, resumed or ended.
 *
 * <p>Invariants: a request that is not idempotent is never run again once a byte of it may have
 * reached an upstream; an answer of which the caller has received a part is only resumed, never
 * restarted. Safe for use by any thread.
 */
public final class RetryPolicy {
  private final RetryBudget budget;
  private final int maxAttempts;

  /**
   * Creates a policy.
   *
   * @param budget the budget for retries and resumptions of this daemon
   * @param maxAttempts the maximum number of attempts for one request
   */
  public RetryPolicy(RetryBudget budget, int maxAttempts) {
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts must be positive");
    }
    this.budget = budget;
    this.maxAttempts = maxAttempts;
  }

  /** Returns the next step for a failed request; a retry or resumption consumes the budget. */
  public NextStep decide(FailedAttempt attempt) {
    boolean repeatable = attempt.idempotent() || !attempt.sent();
    boolean answerStarted = attempt.relayed() > 0;
    boolean beforeDeadline = attempt.nowMillis() < attempt.deadlineMillis();
    boolean retryAllowed = repeatable && (!answerStarted || attempt.resumable());
    if (retryAllowed && beforeDeadline && attempt.failed() < maxAttempts && budget.tryRetry()) {
      return answerStarted ? new NextStep.Resume(attempt.relayed()) : new NextStep.Retry();
    }
    return attempt.sent() ? new NextStep.EndMayHaveRun() : new NextStep.EndNotRun();
  }
}
