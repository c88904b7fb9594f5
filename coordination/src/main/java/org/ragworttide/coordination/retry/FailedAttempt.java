package org.ragworttide.coordination.retry;

/**
 * Failed attempt at a request, with the facts that decide on its next step.
 *
 * <p>Invariant: no part of an answer has been relayed if no byte of the request was sent.
 * Immutable, safe for use by any thread.
 *
 * @param idempotent whether the request may safely run again
 * @param sent whether a byte of the request may have reached any upstream, over all attempts
 * @param relayed how much of the answer the caller has received, in the unit in which engines
 *     resume
 * @param resumable whether engines can resume the answer after what the caller has received
 * @param failed the number of attempts that have failed, including this one
 * @param nowMillis the current time
 * @param deadlineMillis the time by which the answer must be complete
 */
public record FailedAttempt(
    boolean idempotent,
    boolean sent,
    long relayed,
    boolean resumable,
    int failed,
    long nowMillis,
    long deadlineMillis) {

  /** Checks the ranges and that nothing was relayed if nothing was sent. */
  public FailedAttempt {
    if (relayed < 0 || failed < 1) {
      throw new IllegalArgumentException("relayed must not be negative, failed must be positive");
    }
    if (relayed > 0 && !sent) {
      throw new IllegalArgumentException("relayed must be 0 if nothing was sent");
    }
  }
}
