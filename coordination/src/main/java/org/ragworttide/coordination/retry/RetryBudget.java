package org.ragworttide.coordination.retry;

/**
 * Budget that limits retries to a share of first attempts, so that retries cannot amplify an
 * outage.
 *
 * <p>Invariant: over any period, retries are at most the share of the first attempts in it plus the
 * reserve. Safe for use by any thread.
 */
public final class RetryBudget {
  private final double share;
  private double reserve;
  private double tokens;

  /**
   * Creates a budget with a full reserve.
   *
   * @param share the number of retries per first attempt in the long run
   * @param reserve the maximum number of unused retries that accumulate; zero allows no retry
   */
  public RetryBudget(double share, int reserve) {
    if (!(share >= 0 && share <= 1) || reserve < 0) {
      throw new IllegalArgumentException("share must be in [0, 1], reserve must not be negative");
    }
    this.share = share;
    this.reserve = reserve;
    this.tokens = reserve;
  }

  /** Sets the maximum number of unused retries that accumulate; any above it are lost. */
  public synchronized void setReserve(int retries) {
    if (retries < 0) {
      throw new IllegalArgumentException("reserve must not be negative");
    }
    reserve = retries;
    tokens = Math.min(tokens, reserve);
  }

  /** Records a first attempt. */
  public synchronized void recordFirstAttempt() {
    tokens = Math.min(reserve, tokens + share);
  }

  /** Consumes a retry from the budget; returns whether one was available. */
  public synchronized boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
