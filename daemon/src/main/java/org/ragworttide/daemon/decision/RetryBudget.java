package org.ragworttide.daemon.decision;

import org.ragworttide.coordination.id.UpstreamId;

/**
 * Bounds how many requests are sent to another upstream after a failure.
 *
 * <p>Implementations are safe for use by any thread and don't block.
 */
public interface RetryBudget {

  /** Counts a first attempt, which earns a share of a retry. */
  void recordFirstAttempt();

  /**
   * Asks to try another upstream.
   *
   * @param failed the upstream that failed
   * @return whether another try is allowed; if so it has been debited
   */
  boolean tryAcquire(UpstreamId failed);
}
