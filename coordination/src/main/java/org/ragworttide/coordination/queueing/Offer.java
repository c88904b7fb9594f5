package org.ragworttide.coordination.queueing;

/**
 * Outcome of offering a request to a queue.
 *
 * <p>Invariant: a refused request has not run. Confined to the coordination thread.
 *
 * @param <T> the type of the attachment
 */
public sealed interface Offer<T> {

  /**
   * The request waits.
   *
   * @param entry the queued request
   */
  record Queued<T>(Entry<T> entry) implements Offer<T> {}

  /**
   * The request is refused.
   *
   * @param reason the reason of the refusal
   * @param retryAfterMillis the estimated wait at the time of the refusal
   */
  record Refused<T>(QueueRefusal reason, long retryAfterMillis) implements Offer<T> {}
}
