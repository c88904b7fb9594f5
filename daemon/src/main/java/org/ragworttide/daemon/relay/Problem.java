package org.ragworttide.daemon.relay;

import java.util.Objects;

/**
 * Refusal as callers receive it, in the form of RFC 9457.
 *
 * <p>Invariant: a problem states one outcome, and a time to retry only if a retry can succeed.
 * Immutable, safe for use by any thread.
 *
 * @param code the stable code
 * @param outcome whether the request has run
 * @param detail description of the problem for people; contains no API keys
 * @param retryAfterMillis time after which a retry can succeed, zero if unknown
 */
public record Problem(ProblemCode code, RunOutcome outcome, String detail, long retryAfterMillis) {

  /** Checks that all components are present and the time is not negative. */
  public Problem {
    Objects.requireNonNull(code);
    Objects.requireNonNull(outcome);
    Objects.requireNonNull(detail);
    if (retryAfterMillis < 0) {
      throw new IllegalArgumentException("retryAfterMillis must not be negative");
    }
  }

  /** Returns a refusal of a request that has not run. */
  public static Problem notRun(ProblemCode code, String detail) {
    return new Problem(code, RunOutcome.NOT_RUN, detail, 0);
  }

  /** Returns a refusal of a request that has not run and may be sent again. */
  public static Problem notRun(ProblemCode code, String detail, long retryAfterMillis) {
    return new Problem(code, RunOutcome.NOT_RUN, detail, retryAfterMillis);
  }

  /** Returns a refusal of a request that may have run. */
  public static Problem mayHaveRun(ProblemCode code, String detail) {
    return new Problem(code, RunOutcome.MAY_HAVE_RUN, detail, 0);
  }
}
