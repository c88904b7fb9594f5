package org.ragworttide.coordination.message;

import java.util.Objects;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;

/**
 * Messages of the claims on non-idempotent requests.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface ClaimMessage extends PeerMessage {

  /** How a voter answered. */
  enum Vote {
    /** The voter has voted for the asker. */
    GRANTED,
    /** The voter has voted for another claimant. */
    HELD,
    /** The voter knows votes for several claimants and votes for none. */
    CONTESTED,
    /** The voter has not learned its group's votes, or has adopted another list. */
    NOT_INFORMED,
    /** The voter has no memory left for another key. */
    FULL
  }

  /** What a claimant knows of its claim. */
  enum Status {
    /** The request may be running. */
    RUNNING,
    /** The request has run and its answer follows. */
    COMPLETED,
    /** Bytes of the request may have reached an upstream, and no answer is held. */
    MAY_HAVE_RUN,
    /** No byte of the request has reached an upstream through this claim, and none will. */
    NOT_RUN
  }

  /**
   * Asks a voter for its vote.
   *
   * @param version the list version adopted by the claimant
   * @param attempt the claimant's number for this attempt
   * @param incarnation the run of the claimant's process
   * @param key the request key
   */
  record VoteRequest(long version, long attempt, Incarnation incarnation, RequestKey key)
      implements ClaimMessage {

    /** Checks that nothing is missing. */
    public VoteRequest {
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * Answers a request for a vote.
   *
   * @param version the list version adopted by the voter
   * @param attempt the claimant's number for the attempt
   * @param key the request key
   * @param vote how the voter answered
   * @param holder who the voter has voted for, if it is held by another
   */
  record VoteAnswer(long version, long attempt, RequestKey key, Vote vote, Optional<Holder> holder)
      implements ClaimMessage {

    /** Checks that a held key names its holder. */
    public VoteAnswer {
      Objects.requireNonNull(key, "key");
      if (vote == Vote.HELD && holder.isEmpty()) {
        throw new IllegalArgumentException("held by nobody");
      }
    }
  }

  /**
   * The process that holds a claim.
   *
   * @param vm its VM
   * @param incarnation the run of its process
   */
  record Holder(VmId vm, Incarnation incarnation) {

    /** Checks that nothing is missing. */
    public Holder {
      Objects.requireNonNull(vm, "vm");
      Objects.requireNonNull(incarnation, "incarnation");
    }
  }

  /**
   * Lets voters forget a claim that has not run and never will.
   *
   * @param attempt the last attempt that the votes to forget may belong to
   * @param incarnation the run of the claimant's process
   * @param key the request key
   */
  record Release(long attempt, Incarnation incarnation, RequestKey key) implements ClaimMessage {

    /** Checks that nothing is missing. */
    public Release {
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * Asks a claimant what became of its claim.
   *
   * @param attempt the asker's number for this question
   * @param incarnation the run of the claimant's process that holds the claim
   * @param key the request key
   */
  record StatusRequest(long attempt, Incarnation incarnation, RequestKey key)
      implements ClaimMessage {

    /** Checks that nothing is missing. */
    public StatusRequest {
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * Tells what became of a claim.
   *
   * @param attempt the asker's number for the question
   * @param key the request key
   * @param status what the claimant knows
   * @param answer the upstream's answer if the status is completed, else nothing
   */
  record StatusAnswer(long attempt, RequestKey key, Status status, Optional<ClaimAnswer> answer)
      implements ClaimMessage {

    /** Checks that a completed claim carries its answer. */
    public StatusAnswer {
      Objects.requireNonNull(key, "key");
      if ((status == Status.COMPLETED) != answer.isPresent()) {
        throw new IllegalArgumentException("an answer belongs to a completed claim only");
      }
    }
  }
}
