package org.ragworttide.coordination.message;

import java.util.List;
import java.util.Objects;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;

/**
 * Messages about majority leases; each covers many shards.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface LeaseMessage extends PeerMessage {

  /**
   * Requests the votes of a voter for new leases or renewals.
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
   * Answers a request for votes; shards that are not listed were not granted.
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
   * Releases leases before they expire.
   *
   * @param attempt the last round to which the votes to remove may belong
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
   * Requests the owners of shards, as far as the voter knows them.
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
   * Reports the owners of shards, as far as the voter knows them; shards that are not listed have
   * no known owner.
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
