package org.ragworttide.coordination.retry;

/**
 * Next step for a request after a failed attempt.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface NextStep {

  /** Run the request again at another upstream; the caller has received no part of an answer. */
  record Retry() implements NextStep {}

  /**
   * Resume the answer at another upstream after what the caller has received.
   *
   * @param after how much of the answer the caller has received
   */
  record Resume(long after) implements NextStep {}

  /** End the request as not run: no byte of it can have reached an upstream. */
  record EndNotRun() implements NextStep {}

  /** End the request with an error that says that it may have run. */
  record EndMayHaveRun() implements NextStep {}
}
