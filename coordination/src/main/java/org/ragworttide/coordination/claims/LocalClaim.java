package org.ragworttide.coordination.claims;

import java.util.Objects;
import org.ragworttide.coordination.message.ClaimAnswer;

/**
 * State of one of this VM's own claims.
 *
 * <p>Immutable, safe for use by any thread.
 */
sealed interface LocalClaim {

  /** The claim is granted and its request may be running. */
  record Running() implements LocalClaim {}

  /** The request has run and its answer is kept. */
  record Completed(ClaimAnswer answer) implements LocalClaim {

    /** Checks that there is an answer. */
    public Completed {
      Objects.requireNonNull(answer, "answer");
    }
  }

  /** The request may have run; its answer is not kept. */
  record MayHaveRun(ClaimDecision.Reason reason) implements LocalClaim {}

  /** The request has not run and its votes were released. */
  record Released() implements LocalClaim {}
}
