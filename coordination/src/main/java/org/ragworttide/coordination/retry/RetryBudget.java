package org.ragworttide.coordination.retry;

/**
 * Allows retries as a share of first attempts, so that they cannot multiply an outage.
 *
 * <p>Invariant: over any stretch of time, retries are at most the share of the first attempts in it
 * plus the reserve. Safe for use by any thread.
 */
public final class RetryBudget {
  private final double share;
  private double reserve;
  private double tokens;

  /**
   * Creates a budget with a full reserve.
   *
   * @param share retries for one first attempt, in the long run
   * @param reserve retries that may be saved up; none when it is zero
   */
  public RetryBudget(double share, int reserve) {
    if (!(share >= 0 && share <= 1) || reserve < 0) {
      throw new IllegalArgumentException("share must be in [0, 1], reserve not negative");
    }
    this.share = share;
    this.reserve = reserve;
    this.tokens = reserve;
  }

  /** Changes how many retries may be saved up; what is saved beyond that is lost. */
  public synchronized void reserve(int retries) {
    if (retries < 0) {
      throw new IllegalArgumentException("reserve must not be negative");
    }
    reserve = retries;
    tokens = Math.min(tokens, reserve);
  }

  /** Notes a first attempt. */
  public synchronized void attempted() {
    tokens = Math.min(reserve, tokens + share);
  }

  /** Takes a retry out of the budget, if one is left. */
  public synchronized boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
