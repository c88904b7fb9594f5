package org.ragworttide.coordination.retry;

/**
 * What to do with a request that an upstream failed.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface NextStep {

  /** Run the request again elsewhere; the caller has seen nothing of it. */
  record Retry() implements NextStep {}

  /**
   * Go on elsewhere from what the caller has.
   *
   * @param after how much of the answer the caller has
   */
  record Resume(long after) implements NextStep {}

  /** End it as not run: no byte of it can have reached an upstream. */
  record EndNotRun() implements NextStep {}

  /** End it with an error that says that it may have run. */
  record EndMayHaveRun() implements NextStep {}
}
