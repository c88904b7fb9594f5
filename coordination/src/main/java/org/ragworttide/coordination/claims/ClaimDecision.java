package org.ragworttide.coordination.claims;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimAnswer;

/**
 * Decision on a request that must run at most once.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface ClaimDecision {

  /** This daemon may run the request; no other daemon was or will be granted it. */
  record Granted() implements ClaimDecision {}

  /**
   * The first arrival may still be running; a claim made after its end receives its outcome.
   *
   * @param claimant the VM that runs it
   */
  record Running(VmId claimant) implements ClaimDecision {}

  /**
   * The first arrival has run.
   *
   * @param answer its answer
   */
  record Completed(ClaimAnswer answer) implements ClaimDecision {}

  /**
   * This arrival does not run, and it is unknown whether an earlier one has run.
   *
   * @param reason the reason
   */
  record MayHaveRun(Reason reason) implements ClaimDecision {}

  /**
   * The request has not run, and this arrival will not run.
   *
   * @param reason the reason
   */
  record NotRun(Reason reason) implements ClaimDecision {}

  /** Reason why a claim was neither granted nor answered. */
  enum Reason {
    /** The claimant does not answer or has restarted. */
    CLAIMANT_LOST,
    /** The claimant does not know whether the upstream ran the request. */
    UPSTREAM_UNKNOWN,
    /** The claimant no longer keeps the answer, or the answer was too long to keep. */
    ANSWER_NOT_HELD,
    /** Voters have records of several claimants. */
    CONTESTED,
    /** The claimant released the claim without running the request. */
    GIVEN_UP,
    /** Too few voters answered. */
    TOO_FEW_VOTES,
    /** The voters have not learned earlier claims, as after a restart of the whole fleet. */
    VOTERS_NOT_INFORMED,
    /** There is no capacity for another claim. */
    FULL
  }
}
