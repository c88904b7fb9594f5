package org.ragworttide.protocol;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.ClaimMessage.Holder;
import org.ragworttide.coordination.message.ClaimMessage.Status;
import org.ragworttide.coordination.message.ClaimMessage.Vote;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.GroupMessage.KnownVote;
import org.ragworttide.coordination.message.GroupMessage.ShardVotes;
import org.ragworttide.coordination.message.GroupMessage.Topic;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.protocol.wire.ClaimEnvelope;
import org.ragworttide.protocol.wire.ClaimStatus;
import org.ragworttide.protocol.wire.ClaimStatusAnswer;
import org.ragworttide.protocol.wire.ClaimVote;
import org.ragworttide.protocol.wire.ClaimVoteAnswer;
import org.ragworttide.protocol.wire.ClaimVoteRequest;
import org.ragworttide.protocol.wire.GroupAdoptedAnswer;
import org.ragworttide.protocol.wire.GroupEnvelope;
import org.ragworttide.protocol.wire.GroupKnownVote;
import org.ragworttide.protocol.wire.GroupLearnAnswer;
import org.ragworttide.protocol.wire.GroupShardVotes;
import org.ragworttide.protocol.wire.LeaseEnvelope;
import org.ragworttide.protocol.wire.LeaseOwnedShard;
import org.ragworttide.protocol.wire.LeaseOwnerAnswer;
import org.ragworttide.protocol.wire.LeaseVoteRequest;
import org.ragworttide.protocol.wire.VoteTopic;
import org.testng.annotations.Test;

/**
 * Tests that group, lease and claim messages decode to themselves and invalid ones are rejected.
 */
public class QuorumCodecTest {
  private static final Incarnation INCARNATION = new Incarnation(-5);
  private static final RequestKey KEY = new RequestKey("organisation route key");

  @Test
  public void groupMessagesDecodeToThemselves() {
    KnownVote vote = new KnownVote("key", new VmId("a"), INCARNATION, true, 600_000);
    List<GroupMessage> messages =
        List.of(
            new GroupMessage.LearnRequest(Topic.LEASE, 3, -1, List.of(0, 511)),
            new GroupMessage.LearnAnswer(
                Topic.CLAIM, 3, 7, List.of(new ShardVotes(5, 1, 2, List.of(vote)))),
            new GroupMessage.AdoptedRequest(Topic.CLAIM, 9),
            new GroupMessage.AdoptedAnswer(Topic.LEASE, 9, 3));
    for (GroupMessage message : messages) {
      assertEquals(GroupCodec.decode(GroupCodec.encode(message)), Optional.of(message));
    }
  }

  @Test
  public void leaseMessagesDecodeToThemselves() {
    List<LeaseMessage> messages =
        List.of(
            new LeaseMessage.VoteRequest(3, 1, INCARNATION, List.of(1, 2)),
            new LeaseMessage.VoteAnswer(3, 1, List.of(2)),
            new LeaseMessage.Release(1, INCARNATION, List.of(2)),
            new LeaseMessage.OwnerRequest(List.of(0, 511)),
            new LeaseMessage.OwnerAnswer(List.of(new LeaseMessage.OwnedShard(511, new VmId("a")))));
    for (LeaseMessage message : messages) {
      assertEquals(LeaseCodec.decode(LeaseCodec.encode(message)), Optional.of(message));
    }
  }

  @Test
  public void claimMessagesDecodeToThemselves() {
    Optional<ClaimAnswer> empty = Optional.of(new ClaimAnswer(new byte[0]));
    List<ClaimMessage> messages =
        List.of(
            new ClaimMessage.VoteRequest(3, 1, INCARNATION, KEY),
            new ClaimMessage.VoteAnswer(3, 1, KEY, Vote.FULL, Optional.empty()),
            new ClaimMessage.VoteAnswer(
                3, 1, KEY, Vote.HELD, Optional.of(new Holder(new VmId("a"), INCARNATION))),
            new ClaimMessage.Release(1, INCARNATION, KEY),
            new ClaimMessage.StatusRequest(1, INCARNATION, KEY),
            new ClaimMessage.StatusAnswer(1, KEY, Status.COMPLETED, empty),
            new ClaimMessage.StatusAnswer(1, KEY, Status.NOT_RUN, Optional.empty()));
    for (ClaimMessage message : messages) {
      assertEquals(ClaimCodec.decode(ClaimCodec.encode(message)), Optional.of(message));
    }
  }

  @Test
  public void invalidGroupMessagesAreRejected() {
    GroupKnownVote longestVote =
        GroupKnownVote.newBuilder().setHolder("a").setRemainingMillis(Long.MAX_VALUE).build();
    GroupShardVotes noPart = GroupShardVotes.newBuilder().setShard(1).build();
    GroupShardVotes noShard = noPart.toBuilder().setParts(1).setShard(512).build();
    GroupShardVotes invalidVote = noPart.toBuilder().setParts(1).addVotes(longestVote).build();
    assertRejected(GroupEnvelope.getDefaultInstance());
    assertRejected(
        GroupEnvelope.newBuilder()
            .setAdoptedAnswer(GroupAdoptedAnswer.newBuilder().setVersion(1))
            .build());
    for (GroupShardVotes votes : List.of(noPart, noShard, invalidVote)) {
      assertRejected(
          GroupEnvelope.newBuilder()
              .setTopic(VoteTopic.VOTE_TOPIC_CLAIM)
              .setLearnAnswer(GroupLearnAnswer.newBuilder().setVersion(1).addShards(votes))
              .build());
    }
  }

  private static void assertRejected(GroupEnvelope envelope) {
    assertEquals(GroupCodec.decode(envelope), Optional.empty());
  }

  @Test
  public void invalidLeaseMessagesAreRejected() {
    LeaseVoteRequest noVersion = LeaseVoteRequest.newBuilder().addShards(1).build();
    LeaseVoteRequest noShard = LeaseVoteRequest.newBuilder().setVersion(1).addShards(-1).build();
    assertEquals(LeaseCodec.decode(LeaseEnvelope.getDefaultInstance()), Optional.empty());
    LeaseOwnerAnswer noOwner =
        LeaseOwnerAnswer.newBuilder().addOwned(LeaseOwnedShard.getDefaultInstance()).build();
    assertEquals(
        LeaseCodec.decode(LeaseEnvelope.newBuilder().setOwnerAnswer(noOwner).build()),
        Optional.empty());
    for (LeaseVoteRequest request : List.of(noVersion, noShard)) {
      LeaseEnvelope envelope = LeaseEnvelope.newBuilder().setVoteRequest(request).build();
      assertEquals(LeaseCodec.decode(envelope), Optional.empty());
    }
  }

  @Test
  public void invalidClaimMessagesAreRejected() {
    ClaimVoteAnswer noVote = ClaimVoteAnswer.newBuilder().setVersion(1).setKey("key").build();
    ClaimVoteAnswer noHolder = noVote.toBuilder().setVote(ClaimVote.CLAIM_VOTE_HELD).build();
    ClaimStatusAnswer noAnswer =
        ClaimStatusAnswer.newBuilder()
            .setKey("key")
            .setStatus(ClaimStatus.CLAIM_STATUS_COMPLETED)
            .build();
    ByteString tooLong = ByteString.copyFrom(new byte[ClaimAnswer.MAX_BYTES + 1]);
    List<ClaimEnvelope> envelopes =
        List.of(
            ClaimEnvelope.getDefaultInstance(),
            ClaimEnvelope.newBuilder()
                .setVoteRequest(ClaimVoteRequest.newBuilder().setVersion(1))
                .build(),
            ClaimEnvelope.newBuilder().setVoteAnswer(noVote).build(),
            ClaimEnvelope.newBuilder().setVoteAnswer(noHolder).build(),
            ClaimEnvelope.newBuilder().setStatusAnswer(noAnswer).build(),
            ClaimEnvelope.newBuilder()
                .setStatusAnswer(noAnswer.toBuilder().setAnswer(tooLong))
                .build());
    for (ClaimEnvelope envelope : envelopes) {
      assertEquals(ClaimCodec.decode(envelope), Optional.empty());
    }
  }
}
