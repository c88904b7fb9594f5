package org.ragworttide.coordination.limits;

import java.util.Objects;

/**
 * Decision on whether a request may run under the limit of its organisation.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface LimitDecision {

  /**
   * The request may run.
   *
   * @param retry whether the request is a retry of a request that was already counted
   */
  record Admitted(boolean retry) implements LimitDecision {}

  /**
   * The request may not run and has not been counted.
   *
   * @param retryAfterMillis how long the caller should wait before it retries
   * @param reason why the request was refused
   */
  record Refused(long retryAfterMillis, RefusalReason reason) implements LimitDecision {

    /** Checks that the reason is present. */
    public Refused {
      Objects.requireNonNull(reason, "reason");
    }
  }
}
