package org.ragworttide.coordination.claims;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.group.Ballot;
import org.ragworttide.coordination.group.GroupSelection;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.group.VoteResult;
import org.ragworttide.coordination.group.Voter;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.ClaimMessage.Holder;
import org.ragworttide.coordination.message.ClaimMessage.Release;
import org.ragworttide.coordination.message.ClaimMessage.StatusRequest;
import org.ragworttide.coordination.message.ClaimMessage.Vote;
import org.ragworttide.coordination.message.ClaimMessage.VoteAnswer;
import org.ragworttide.coordination.message.ClaimMessage.VoteRequest;
import org.ragworttide.coordination.message.Transport;

/**
 * Sender of a claimant's messages to voters and other claimants; passes messages for this VM's own
 * voter to it directly.
 *
 * <p>Stateless. Used on the coordination thread only.
 */
final class ClaimPeers {
  private final VmId self;
  private final Incarnation incarnation;
  private final Transport transport;
  private final Voter voter;

  ClaimPeers(VmId self, Incarnation incarnation, Transport transport, Voter voter) {
    this.self = self;
    this.incarnation = incarnation;
    this.transport = transport;
    this.voter = voter;
  }

  VmId self() {
    return self;
  }

  GroupSelection groups() {
    return voter.groups().orElseThrow();
  }

  List<VmId> group(RequestKey key) {
    return groups().group(shard(key));
  }

  private static Shard shard(RequestKey key) {
    return Shard.of(key.value());
  }

  void requestVotes(VoteRound round, RequestKey key) {
    VoteRequest request = new VoteRequest(round.version(), round.attempt(), incarnation, key);
    for (VmId peer : round.undecidedVoters()) {
      if (peer.equals(self)) {
        round.count(self, castVote(self, request));
      } else {
        transport.send(peer, request);
      }
    }
  }

  void release(RequestKey key, long attempt) {
    Release release = new Release(attempt, incarnation, key);
    for (VmId peer : group(key)) {
      if (peer.equals(self)) {
        releaseVote(self, release);
      } else {
        transport.send(peer, release);
      }
    }
  }

  void requestStatus(Holder holder, long attempt, RequestKey key) {
    transport.send(holder.vm(), new StatusRequest(attempt, holder.incarnation(), key));
  }

  void send(VmId to, ClaimMessage message) {
    transport.send(to, message);
  }

  boolean isOwnIncarnation(Incarnation other) {
    return incarnation.equals(other);
  }

  /** Requests the vote of this VM's voter and returns the answer to it. */
  VoteAnswer castVote(VmId from, VoteRequest request) {
    RequestKey key = request.key();
    VoteResult result =
        voter.vote(
            new Ballot(
                shard(key),
                key.value(),
                from,
                request.incarnation(),
                request.version(),
                request.attempt()));
    long version = groups().list().version();
    return new VoteAnswer(version, request.attempt(), key, voteOf(result), holderOf(result));
  }

  private static Vote voteOf(VoteResult result) {
    return switch (result) {
      case VoteResult.Granted granted -> Vote.GRANTED;
      case VoteResult.Held held -> Vote.HELD;
      case VoteResult.Contested contested -> Vote.CONTESTED;
      case VoteResult.NotInformed notInformed -> Vote.NOT_INFORMED;
      case VoteResult.Full full -> Vote.FULL;
    };
  }

  private static Optional<Holder> holderOf(VoteResult result) {
    return result instanceof VoteResult.Held held
        ? Optional.of(new Holder(held.holder(), held.incarnation()))
        : Optional.empty();
  }

  /** Releases a vote of this VM's voter. */
  void releaseVote(VmId from, Release release) {
    voter.release(
        shard(release.key()),
        release.key().value(),
        from,
        release.incarnation(),
        release.attempt());
  }
}
