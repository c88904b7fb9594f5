package org.ragworttide.coordination.claims;

import java.util.Objects;
import org.ragworttide.coordination.message.ClaimAnswer;

/**
 * What this VM knows of a claim of its own.
 *
 * <p>Immutable, safe for use by any thread.
 */
sealed interface LocalClaim {

  /** The claim is granted and may be running. */
  record Running() implements LocalClaim {}

  /** The claim has run. */
  record Completed(ClaimAnswer answer) implements LocalClaim {

    /** Checks that there is an answer. */
    public Completed {
      Objects.requireNonNull(answer, "answer");
    }
  }

  /** The claim may have run; its answer is not held. */
  record MayHaveRun(ClaimDecision.Reason reason) implements LocalClaim {}

  /** The claim has not run and its votes were given back. */
  record GivenUp() implements LocalClaim {}
}
