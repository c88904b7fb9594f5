package org.ragworttide.daemon.relay;

import java.util.Objects;

/**
 * A refusal as callers receive it, in the form of RFC 9457.
 *
 * <p>Invariant: carries one outcome, and a time to retry only if another try can succeed.
 * Immutable, safe for use by any thread.
 *
 * @param code the stable code
 * @param outcome whether the request has run
 * @param detail what is wrong, for people; free of keys
 * @param retryAfterMillis when another try can succeed, zero if not told
 */
public record Problem(ProblemCode code, RunOutcome outcome, String detail, long retryAfterMillis) {

  /** Checks the parts. */
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
