package org.ragworttide.protocol;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.GroupMessage.KnownVote;
import org.ragworttide.coordination.message.GroupMessage.ShardVotes;
import org.ragworttide.coordination.message.GroupMessage.Topic;
import org.ragworttide.protocol.wire.GroupAdoptedAnswer;
import org.ragworttide.protocol.wire.GroupAdoptedRequest;
import org.ragworttide.protocol.wire.GroupEnvelope;
import org.ragworttide.protocol.wire.GroupKnownVote;
import org.ragworttide.protocol.wire.GroupLearnAnswer;
import org.ragworttide.protocol.wire.GroupLearnRequest;
import org.ragworttide.protocol.wire.GroupShardVotes;
import org.ragworttide.protocol.wire.VoteTopic;

/**
 * Converts voter group messages to and from their Protocol Buffers form.
 *
 * <p>Invariant: decodes an envelope only if all its fields are valid. Stateless, safe for use by
 * any thread.
 */
public final class GroupCodec {
  private static final int MAX_VOTES = 1_024;
  private static final long MAX_REMAINING_MILLIS = 7L * 24 * 3_600 * 1_000;

  private GroupCodec() {}

  /** Encodes a message as an envelope. */
  public static GroupEnvelope encode(GroupMessage message) {
    GroupEnvelope.Builder envelope = GroupEnvelope.newBuilder().setTopic(toWire(message.topic()));
    switch (message) {
      case GroupMessage.LearnRequest request ->
          envelope.setLearnRequest(
              GroupLearnRequest.newBuilder()
                  .setVersion(request.version())
                  .setAttempt(request.attempt())
                  .addAllShards(request.shards()));
      case GroupMessage.LearnAnswer answer ->
          envelope.setLearnAnswer(
              GroupLearnAnswer.newBuilder()
                  .setVersion(answer.version())
                  .setAttempt(answer.attempt())
                  .addAllShards(answer.shards().stream().map(GroupCodec::toWire).toList()));
      case GroupMessage.AdoptedRequest request ->
          envelope.setAdoptedRequest(
              GroupAdoptedRequest.newBuilder().setAttempt(request.attempt()));
      case GroupMessage.AdoptedAnswer answer ->
          envelope.setAdoptedAnswer(
              GroupAdoptedAnswer.newBuilder()
                  .setAttempt(answer.attempt())
                  .setVersion(answer.version()));
    }
    return envelope.build();
  }

  private static VoteTopic toWire(Topic topic) {
    return switch (topic) {
      case LEASE -> VoteTopic.VOTE_TOPIC_LEASE;
      case CLAIM -> VoteTopic.VOTE_TOPIC_CLAIM;
    };
  }

  private static GroupShardVotes toWire(ShardVotes votes) {
    return GroupShardVotes.newBuilder()
        .setShard(votes.shard())
        .setPart(votes.part())
        .setParts(votes.parts())
        .addAllVotes(votes.votes().stream().map(GroupCodec::toWire).toList())
        .build();
  }

  private static GroupKnownVote toWire(KnownVote vote) {
    return GroupKnownVote.newBuilder()
        .setKey(vote.key())
        .setHolder(vote.holder().value())
        .setIncarnation(vote.incarnation().value())
        .setContested(vote.contested())
        .setRemainingMillis(vote.remainingMillis())
        .build();
  }

  /** Decodes an envelope; empty if a field is missing or out of range. */
  public static Optional<GroupMessage> decode(GroupEnvelope envelope) {
    return topic(envelope.getTopic()).flatMap(topic -> decode(topic, envelope));
  }

  private static Optional<GroupMessage> decode(Topic topic, GroupEnvelope envelope) {
    return switch (envelope.getMessageCase()) {
      case LEARN_REQUEST -> fromWire(topic, envelope.getLearnRequest());
      case LEARN_ANSWER -> fromWire(topic, envelope.getLearnAnswer());
      case ADOPTED_REQUEST ->
          Optional.of(
              new GroupMessage.AdoptedRequest(topic, envelope.getAdoptedRequest().getAttempt()));
      case ADOPTED_ANSWER -> fromWire(topic, envelope.getAdoptedAnswer());
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static Optional<Topic> topic(VoteTopic wire) {
    return switch (wire) {
      case VOTE_TOPIC_LEASE -> Optional.of(Topic.LEASE);
      case VOTE_TOPIC_CLAIM -> Optional.of(Topic.CLAIM);
      case VOTE_TOPIC_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
    };
  }

  private static Optional<GroupMessage> fromWire(Topic topic, GroupLearnRequest wire) {
    if (wire.getVersion() <= 0 || !WireChecks.areShardNumbers(wire.getShardsList())) {
      return Optional.empty();
    }
    return Optional.of(
        new GroupMessage.LearnRequest(
            topic, wire.getVersion(), wire.getAttempt(), wire.getShardsList()));
  }

  private static Optional<GroupMessage> fromWire(Topic topic, GroupLearnAnswer wire) {
    if (wire.getVersion() <= 0) {
      return Optional.empty();
    }
    Optional<List<ShardVotes>> shards =
        WireChecks.decodeAll(wire.getShardsList(), Shard.COUNT, GroupCodec::fromWire);
    return shards.map(
        votes -> new GroupMessage.LearnAnswer(topic, wire.getVersion(), wire.getAttempt(), votes));
  }

  private static Optional<GroupMessage> fromWire(Topic topic, GroupAdoptedAnswer wire) {
    return wire.getVersion() <= 0
        ? Optional.empty()
        : Optional.of(new GroupMessage.AdoptedAnswer(topic, wire.getAttempt(), wire.getVersion()));
  }

  private static Optional<ShardVotes> fromWire(GroupShardVotes wire) {
    boolean isPart =
        wire.getPart() >= 0
            && wire.getPart() < wire.getParts()
            && wire.getParts() <= ShardVotes.MAX_PARTS;
    if (!isPart || !Shard.isNumber(wire.getShard())) {
      return Optional.empty();
    }
    return WireChecks.decodeAll(wire.getVotesList(), MAX_VOTES, GroupCodec::fromWire)
        .map(votes -> new ShardVotes(wire.getShard(), wire.getPart(), wire.getParts(), votes));
  }

  private static Optional<KnownVote> fromWire(GroupKnownVote wire) {
    boolean isKey = wire.getKey().isEmpty() || WireChecks.isId(wire.getKey());
    long remaining = wire.getRemainingMillis();
    if (!isKey
        || !WireChecks.isId(wire.getHolder())
        || remaining < 0
        || remaining > MAX_REMAINING_MILLIS) {
      return Optional.empty();
    }
    return Optional.of(
        new KnownVote(
            wire.getKey(),
            new VmId(wire.getHolder()),
            new Incarnation(wire.getIncarnation()),
            wire.getContested(),
            remaining));
  }
}
