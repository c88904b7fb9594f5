package org.ragworttide.coordination.message;

import java.util.List;
import java.util.Objects;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;

/**
 * Messages of the majority lease; each carries many shards.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface LeaseMessage extends PeerMessage {

  /**
   * Asks a voter for its vote, for a new lease or a renewal.
   *
   * @param version the list version adopted by the candidate
   * @param attempt the candidate's number for this round
   * @param incarnation the run of the candidate's process
   * @param shards the numbers of the shards
   */
  record VoteRequest(long version, long attempt, Incarnation incarnation, List<Integer> shards)
      implements LeaseMessage {

    /** Copies the shards. */
    public VoteRequest {
      Objects.requireNonNull(incarnation, "incarnation");
      shards = List.copyOf(shards);
    }
  }

  /**
   * Answers a request; shards that are not named were not granted.
   *
   * @param version the list version adopted by the voter
   * @param attempt the candidate's number for the round
   * @param granted the numbers of the granted shards
   */
  record VoteAnswer(long version, long attempt, List<Integer> granted) implements LeaseMessage {

    /** Copies the shards. */
    public VoteAnswer {
      granted = List.copyOf(granted);
    }
  }

  /**
   * Gives leases back before they expire.
   *
   * @param attempt the last round that the votes to forget may belong to
   * @param incarnation the run of the owner's process
   * @param shards the numbers of the shards
   */
  record Release(long attempt, Incarnation incarnation, List<Integer> shards)
      implements LeaseMessage {

    /** Copies the shards. */
    public Release {
      Objects.requireNonNull(incarnation, "incarnation");
      shards = List.copyOf(shards);
    }
  }

  /**
   * Asks a voter who owns shards, as far as it knows.
   *
   * @param shards the numbers of the shards
   */
  record OwnerRequest(List<Integer> shards) implements LeaseMessage {

    /** Copies the shards. */
    public OwnerRequest {
      shards = List.copyOf(shards);
    }
  }

  /**
   * Tells who owns shards, as far as the voter knows; shards that are not named are unknown.
   *
   * @param owned the shards and their owners
   */
  record OwnerAnswer(List<OwnedShard> owned) implements LeaseMessage {

    /** Copies the shards. */
    public OwnerAnswer {
      owned = List.copyOf(owned);
    }
  }

  /**
   * A shard and its probable owner.
   *
   * @param shard the number of the shard
   * @param owner the VM voted for
   */
  record OwnedShard(int shard, VmId owner) {

    /** Checks that nothing is missing. */
    public OwnedShard {
      Objects.requireNonNull(owner, "owner");
    }
  }
}
