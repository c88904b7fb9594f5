package org.ragworttide.coordination.queueing;

/**
 * The outcome of offering a request to a queue.
 *
 * <p>Invariant: a refused request has not run. Confined to the coordination thread.
 *
 * @param <T> the type of the attachment
 */
public sealed interface Offer<T> {

  /**
   * The request waits.
   *
   * @param entry its place
   */
  record Queued<T>(Entry<T> entry) implements Offer<T> {}

  /**
   * The request is refused.
   *
   * @param reason why
   * @param retryAfterMillis how long the wait would be now
   */
  record Refused<T>(QueueRefusal reason, long retryAfterMillis) implements Offer<T> {}
}
