package org.ragworttide.coordination.limits;

import java.util.Objects;

/**
 * Whether a request may run under its organisation's limit.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface LimitDecision {

  /**
   * The request may run.
   *
   * @param retry whether it is a retry of a request that was counted before
   */
  record Admitted(boolean retry) implements LimitDecision {}

  /**
   * The request may not run and has not been counted.
   *
   * @param retryAfterMillis when the caller may try again
   * @param reason why it was refused
   */
  record Refused(long retryAfterMillis, RefusalReason reason) implements LimitDecision {

    /** Checks that the reason is given. */
    public Refused {
      Objects.requireNonNull(reason, "reason");
    }
  }
}
