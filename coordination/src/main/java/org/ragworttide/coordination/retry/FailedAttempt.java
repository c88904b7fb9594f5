package org.ragworttide.coordination.retry;

/**
 * What is known of a request when an upstream failed it.
 *
 * <p>Invariant: nothing can have been relayed of a request of which nothing was sent. Immutable,
 * safe for use by any thread.
 *
 * @param idempotent whether running it again is harmless
 * @param sent whether a byte of the request may have reached any upstream, over all attempts
 * @param relayed how much of the answer the caller has, in the unit in which engines resume
 * @param resumable whether engines can go on from what the caller has
 * @param failed attempts that failed so far, this one included
 * @param nowMillis now
 * @param deadlineMillis when the answer must be whole
 */
public record FailedAttempt(
    boolean idempotent,
    boolean sent,
    long relayed,
    boolean resumable,
    int failed,
    long nowMillis,
    long deadlineMillis) {

  /** Checks that the facts do not contradict each other. */
  public FailedAttempt {
    if (relayed < 0 || failed < 1) {
      throw new IllegalArgumentException("counts out of range");
    }
    if (relayed > 0 && !sent) {
      throw new IllegalArgumentException("an answer without a request");
    }
  }
}
