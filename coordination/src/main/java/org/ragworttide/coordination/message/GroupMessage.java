package org.ragworttide.coordination.message;

import java.util.List;
import java.util.Objects;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;

/**
 * Messages between the voters of a group, by which a voter learns the votes that it must not
 * contradict.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface GroupMessage extends PeerMessage {

  /** Returns the topic of the votes. */
  Topic topic();

  /** Topic of votes. */
  enum Topic {
    /** Votes for the owner of a shard. */
    LEASE,
    /** Votes for the claimant of a request key. */
    CLAIM
  }

  /**
   * Requests the votes of an informed voter of the same groups.
   *
   * @param topic the topic of the votes
   * @param version the list version adopted by the learner
   * @param attempt the learner's number for this request
   * @param shards the numbers of the shards to learn
   */
  record LearnRequest(Topic topic, long version, long attempt, List<Integer> shards)
      implements GroupMessage {

    /** Copies the shards. */
    public LearnRequest {
      Objects.requireNonNull(topic, "topic");
      shards = List.copyOf(shards);
    }
  }

  /**
   * Carries an informed voter's votes for some shards.
   *
   * @param topic the topic of the votes
   * @param version the list version adopted by the voter
   * @param attempt the learner's number for the request
   * @param shards the votes of the shards, each complete or in parts
   */
  record LearnAnswer(Topic topic, long version, long attempt, List<ShardVotes> shards)
      implements GroupMessage {

    /** Copies the shards. */
    public LearnAnswer {
      Objects.requireNonNull(topic, "topic");
      shards = List.copyOf(shards);
    }
  }

  /**
   * Part of a voter's votes for a shard.
   *
   * @param shard the number of the shard
   * @param part the number of this part, from zero
   * @param parts the number of parts
   * @param votes the unexpired votes of this part
   */
  record ShardVotes(int shard, int part, int parts, List<KnownVote> votes) {
    /** Maximum number of parts of one shard. */
    public static final int MAX_PARTS = 4096;

    /** Copies the votes and checks the part. */
    public ShardVotes {
      if (part < 0 || part >= parts || parts > MAX_PARTS) {
        throw new IllegalArgumentException("part number out of range: " + part + " of " + parts);
      }
      votes = List.copyOf(votes);
    }
  }

  /**
   * Vote that a voter must not contradict.
   *
   * @param key the request key of a claim, or the empty string for a lease
   * @param holder the VM voted for
   * @param incarnation the run of the holder's process
   * @param contested whether votes for several holders are known, so that none may be granted
   * @param remainingMillis how long the vote still binds
   */
  record KnownVote(
      String key, VmId holder, Incarnation incarnation, boolean contested, long remainingMillis) {

    /** Checks that nothing is missing. */
    public KnownVote {
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(holder, "holder");
      Objects.requireNonNull(incarnation, "incarnation");
      if (remainingMillis < 0) {
        throw new IllegalArgumentException("remainingMillis must not be negative");
      }
    }
  }

  /**
   * Requests the list version that a VM has adopted.
   *
   * @param topic topic of the votes for which it is requested
   * @param attempt the requester's number for this request
   */
  record AdoptedRequest(Topic topic, long attempt) implements GroupMessage {

    /** Checks that nothing is missing. */
    public AdoptedRequest {
      Objects.requireNonNull(topic, "topic");
    }
  }

  /**
   * Reports the list version that a VM has adopted.
   *
   * @param topic topic of the votes for which it was requested
   * @param attempt the requester's number for the request
   * @param version the adopted version
   */
  record AdoptedAnswer(Topic topic, long attempt, long version) implements GroupMessage {

    /** Checks that nothing is missing. */
    public AdoptedAnswer {
      Objects.requireNonNull(topic, "topic");
    }
  }
}
