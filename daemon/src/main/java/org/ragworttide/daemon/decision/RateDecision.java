package org.ragworttide.daemon.decision;

/** Whether a request is within its organisation's rate; immutable, safe for use by any thread. */
public sealed interface RateDecision {

  /** The request may run and has been debited. */
  record Admitted() implements RateDecision {}

  /**
   * The request exceeds the rate and burst.
   *
   * @param retryAfterMillis when another try can succeed
   */
  record Limited(long retryAfterMillis) implements RateDecision {}

  /**
   * Whether the request is within the rate can't be told now.
   *
   * @param retryAfterMillis when another try can succeed
   */
  record Unavailable(long retryAfterMillis) implements RateDecision {}
}
