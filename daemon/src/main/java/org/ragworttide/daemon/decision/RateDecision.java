package org.ragworttide.daemon.decision;

/** Result of a rate limit check; immutable, safe for use by any thread. */
public sealed interface RateDecision {

  /** The request may run and has been debited from its organisation's allowance. */
  record Admitted() implements RateDecision {}

  /**
   * The request exceeds its organisation's rate and burst.
   *
   * @param retryAfterMillis time after which a retry can succeed
   */
  record Limited(long retryAfterMillis) implements RateDecision {}

  /**
   * Whether the request is within the rate can't be decided at present.
   *
   * @param retryAfterMillis time after which a retry can succeed
   */
  record Unavailable(long retryAfterMillis) implements RateDecision {}
}
