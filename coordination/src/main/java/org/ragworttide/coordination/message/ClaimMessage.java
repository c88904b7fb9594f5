package org.ragworttide.coordination.message;

import java.util.Objects;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;

/**
 * Messages about claims on non-idempotent requests.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface ClaimMessage extends PeerMessage {

  /** Answer of a voter. */
  enum Vote {
    /** The voter has voted for the claimant that requested the vote. */
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

  /** Status of a claim, as far as its claimant knows. */
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
   * Requests the vote of a voter.
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
   * @param vote the answer of the voter
   * @param holder the process that the voter has voted for, if another process holds the key
   */
  record VoteAnswer(long version, long attempt, RequestKey key, Vote vote, Optional<Holder> holder)
      implements ClaimMessage {

    /** Checks that a held key names its holder. */
    public VoteAnswer {
      Objects.requireNonNull(key, "key");
      if (vote == Vote.HELD && holder.isEmpty()) {
        throw new IllegalArgumentException("a held key must name its holder");
      }
    }
  }

  /**
   * The process that holds a claim.
   *
   * @param vm the VM of the process
   * @param incarnation the run of the process
   */
  record Holder(VmId vm, Incarnation incarnation) {

    /** Checks that nothing is missing. */
    public Holder {
      Objects.requireNonNull(vm, "vm");
      Objects.requireNonNull(incarnation, "incarnation");
    }
  }

  /**
   * Allows voters to remove their votes for a claim whose request has not run and never will.
   *
   * @param attempt the last attempt to which the votes to remove may belong
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
   * Requests the status of a claim from its claimant.
   *
   * @param attempt the requester's number for this request
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
   * Reports the status of a claim.
   *
   * @param attempt the requester's number for the request
   * @param key the request key
   * @param status the status as far as the claimant knows
   * @param answer the upstream's answer if the status is completed, otherwise empty
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
