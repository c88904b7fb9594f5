package org.ragworttide.protocol;

import java.util.Optional;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.coordination.message.LeaseMessage.OwnedShard;
import org.ragworttide.protocol.wire.LeaseEnvelope;
import org.ragworttide.protocol.wire.LeaseOwnedShard;
import org.ragworttide.protocol.wire.LeaseOwnerAnswer;
import org.ragworttide.protocol.wire.LeaseOwnerRequest;
import org.ragworttide.protocol.wire.LeaseRelease;
import org.ragworttide.protocol.wire.LeaseVoteAnswer;
import org.ragworttide.protocol.wire.LeaseVoteRequest;

/**
 * Converts majority lease messages to and from their Protocol Buffers form.
 *
 * <p>Invariant: decodes an envelope only if all its fields are valid. Stateless, safe for use by
 * any thread.
 */
public final class LeaseCodec {

  private LeaseCodec() {}

  /** Encodes a message as an envelope. */
  public static LeaseEnvelope encode(LeaseMessage message) {
    LeaseEnvelope.Builder envelope = LeaseEnvelope.newBuilder();
    switch (message) {
      case LeaseMessage.VoteRequest request ->
          envelope.setVoteRequest(
              LeaseVoteRequest.newBuilder()
                  .setVersion(request.version())
                  .setAttempt(request.attempt())
                  .setIncarnation(request.incarnation().value())
                  .addAllShards(request.shards()));
      case LeaseMessage.VoteAnswer answer ->
          envelope.setVoteAnswer(
              LeaseVoteAnswer.newBuilder()
                  .setVersion(answer.version())
                  .setAttempt(answer.attempt())
                  .addAllGranted(answer.granted()));
      case LeaseMessage.Release release ->
          envelope.setRelease(
              LeaseRelease.newBuilder()
                  .setAttempt(release.attempt())
                  .setIncarnation(release.incarnation().value())
                  .addAllShards(release.shards()));
      case LeaseMessage.OwnerRequest request ->
          envelope.setOwnerRequest(LeaseOwnerRequest.newBuilder().addAllShards(request.shards()));
      case LeaseMessage.OwnerAnswer answer ->
          envelope.setOwnerAnswer(
              LeaseOwnerAnswer.newBuilder()
                  .addAllOwned(answer.owned().stream().map(LeaseCodec::toWire).toList()));
    }
    return envelope.build();
  }

  private static LeaseOwnedShard toWire(OwnedShard owned) {
    return LeaseOwnedShard.newBuilder()
        .setShard(owned.shard())
        .setOwner(owned.owner().value())
        .build();
  }

  /** Decodes an envelope; empty if a field is missing or out of range. */
  public static Optional<LeaseMessage> decode(LeaseEnvelope envelope) {
    return switch (envelope.getMessageCase()) {
      case VOTE_REQUEST -> fromWire(envelope.getVoteRequest());
      case VOTE_ANSWER -> fromWire(envelope.getVoteAnswer());
      case RELEASE -> fromWire(envelope.getRelease());
      case OWNER_REQUEST -> fromWire(envelope.getOwnerRequest());
      case OWNER_ANSWER -> fromWire(envelope.getOwnerAnswer());
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static Optional<LeaseMessage> fromWire(LeaseVoteRequest wire) {
    if (wire.getVersion() <= 0 || !WireChecks.areShardNumbers(wire.getShardsList())) {
      return Optional.empty();
    }
    return Optional.of(
        new LeaseMessage.VoteRequest(
            wire.getVersion(),
            wire.getAttempt(),
            new Incarnation(wire.getIncarnation()),
            wire.getShardsList()));
  }

  private static Optional<LeaseMessage> fromWire(LeaseVoteAnswer wire) {
    if (wire.getVersion() <= 0 || !WireChecks.areShardNumbers(wire.getGrantedList())) {
      return Optional.empty();
    }
    return Optional.of(
        new LeaseMessage.VoteAnswer(wire.getVersion(), wire.getAttempt(), wire.getGrantedList()));
  }

  private static Optional<LeaseMessage> fromWire(LeaseRelease wire) {
    if (!WireChecks.areShardNumbers(wire.getShardsList())) {
      return Optional.empty();
    }
    return Optional.of(
        new LeaseMessage.Release(
            wire.getAttempt(), new Incarnation(wire.getIncarnation()), wire.getShardsList()));
  }

  private static Optional<LeaseMessage> fromWire(LeaseOwnerRequest wire) {
    return WireChecks.areShardNumbers(wire.getShardsList())
        ? Optional.of(new LeaseMessage.OwnerRequest(wire.getShardsList()))
        : Optional.empty();
  }

  private static Optional<LeaseMessage> fromWire(LeaseOwnerAnswer wire) {
    return WireChecks.decodeAll(wire.getOwnedList(), Shard.COUNT, LeaseCodec::fromWire)
        .map(LeaseMessage.OwnerAnswer::new);
  }

  private static Optional<OwnedShard> fromWire(LeaseOwnedShard wire) {
    return Shard.isNumber(wire.getShard()) && WireChecks.isId(wire.getOwner())
        ? Optional.of(new OwnedShard(wire.getShard(), new VmId(wire.getOwner())))
        : Optional.empty();
  }
}
