package org.ragworttide.daemon.decision;

import org.ragworttide.coordination.id.UpstreamId;

/**
 * Bounds retries of one daemon to a share of its first attempts.
 *
 * <p>Invariant: the balance is between zero and its maximum. Safe for use by any thread.
 */
public final class LocalRetryBudget implements RetryBudget {
  private final double share;
  private final double max;
  private double balance;

  /**
   * Creates a full budget.
   *
   * @param share retries earned by one first attempt, 0 to 1
   * @param max most retries at once
   */
  public LocalRetryBudget(double share, double max) {
    if (share < 0 || share > 1 || max < 0) {
      throw new IllegalArgumentException("share must be in 0..1 and max not negative");
    }
    this.share = share;
    this.max = max;
    this.balance = max;
  }

  @Override
  public synchronized void recordFirstAttempt() {
    balance = Math.min(max, balance + share);
  }

  @Override
  public synchronized boolean tryAcquire(UpstreamId failed) {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
