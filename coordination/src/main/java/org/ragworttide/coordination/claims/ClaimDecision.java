package org.ragworttide.coordination.claims;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimAnswer;

/**
 * What a daemon may tell or do about a request that must run at most once.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface ClaimDecision {

  /** The request is this daemon's to run; nobody else was or will be granted it. */
  record Granted() implements ClaimDecision {}

  /**
   * The first arrival may be running still; asking again later tells more.
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
   * This arrival does not run, and whether an earlier one has run is not known.
   *
   * @param reason why
   */
  record MayHaveRun(Reason reason) implements ClaimDecision {}

  /**
   * The request has not run, and this arrival will not run.
   *
   * @param reason why
   */
  record NotRun(Reason reason) implements ClaimDecision {}

  /** Why a claim was neither granted nor answered. */
  enum Reason {
    /** The claimant does not answer or has restarted. */
    CLAIMANT_LOST,
    /** The claimant does not know whether the upstream ran the request. */
    UPSTREAM_UNKNOWN,
    /** The claimant holds the answer no longer, or it was too long to hold. */
    ANSWER_NOT_HELD,
    /** Voters know of several claimants. */
    CONTESTED,
    /** The claimant gave the claim up without running it. */
    GIVEN_UP,
    /** Too few voters answered. */
    TOO_FEW_VOTES,
    /** The voters have not learned earlier claims, as after a restart of the whole fleet. */
    VOTERS_NOT_INFORMED,
    /** No memory is left for another claim. */
    FULL
  }
}
