package org.ragworttide.coordination.retry;

/**
 * What is known of a request when an upstream failed it.
 *
 * <p>Invariant: nothing can have been relayed of a request of which nothing was sent. Immutable,
 * safe for use by any thread.
 *
 * @param idempotent whether running it again is harmless
 * @param sentBytes bytes of the request that may have reached any upstream, over all attempts
 * @param relayedBytes bytes of the answer that the caller has
 * @param resumable whether engines can go on from what the caller has
 * @param failed attempts that failed so far, this one included
 * @param nowMillis now
 * @param deadlineMillis when the answer must be whole
 */
public record Attempt(
    boolean idempotent,
    long sentBytes,
    long relayedBytes,
    boolean resumable,
    int failed,
    long nowMillis,
    long deadlineMillis) {

  /** Checks that the facts do not contradict each other. */
  public Attempt {
    if (sentBytes < 0 || relayedBytes < 0 || failed < 1) {
      throw new IllegalArgumentException("counts out of range");
    }
    if (relayedBytes > 0 && sentBytes == 0) {
      throw new IllegalArgumentException("an answer without a request");
    }
  }
}
