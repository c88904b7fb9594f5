package org.ragworttide.protocol;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.ClaimMessage.Holder;
import org.ragworttide.coordination.message.ClaimMessage.Status;
import org.ragworttide.coordination.message.ClaimMessage.Vote;
import org.ragworttide.protocol.wire.ClaimEnvelope;
import org.ragworttide.protocol.wire.ClaimHolder;
import org.ragworttide.protocol.wire.ClaimRelease;
import org.ragworttide.protocol.wire.ClaimStatus;
import org.ragworttide.protocol.wire.ClaimStatusAnswer;
import org.ragworttide.protocol.wire.ClaimStatusRequest;
import org.ragworttide.protocol.wire.ClaimVote;
import org.ragworttide.protocol.wire.ClaimVoteAnswer;
import org.ragworttide.protocol.wire.ClaimVoteRequest;

/**
 * Converts claim messages to and from their Protocol Buffers form.
 *
 * <p>Invariant: decodes an envelope only if all its fields are valid. Stateless, safe for use by
 * any thread.
 */
public final class ClaimCodec {

  private ClaimCodec() {}

  /** Encodes a message as an envelope. */
  public static ClaimEnvelope encode(ClaimMessage message) {
    ClaimEnvelope.Builder envelope = ClaimEnvelope.newBuilder();
    switch (message) {
      case ClaimMessage.VoteRequest request ->
          envelope.setVoteRequest(
              ClaimVoteRequest.newBuilder()
                  .setVersion(request.version())
                  .setAttempt(request.attempt())
                  .setIncarnation(request.incarnation().value())
                  .setKey(request.key().value()));
      case ClaimMessage.VoteAnswer answer -> envelope.setVoteAnswer(toWire(answer));
      case ClaimMessage.Release release ->
          envelope.setRelease(
              ClaimRelease.newBuilder()
                  .setAttempt(release.attempt())
                  .setIncarnation(release.incarnation().value())
                  .setKey(release.key().value()));
      case ClaimMessage.StatusRequest request ->
          envelope.setStatusRequest(
              ClaimStatusRequest.newBuilder()
                  .setAttempt(request.attempt())
                  .setIncarnation(request.incarnation().value())
                  .setKey(request.key().value()));
      case ClaimMessage.StatusAnswer answer -> envelope.setStatusAnswer(toWire(answer));
    }
    return envelope.build();
  }

  private static ClaimVoteAnswer toWire(ClaimMessage.VoteAnswer answer) {
    ClaimVoteAnswer.Builder wire =
        ClaimVoteAnswer.newBuilder()
            .setVersion(answer.version())
            .setAttempt(answer.attempt())
            .setKey(answer.key().value())
            .setVote(toWire(answer.vote()));
    answer
        .holder()
        .ifPresent(
            holder ->
                wire.setHolder(
                    ClaimHolder.newBuilder()
                        .setVm(holder.vm().value())
                        .setIncarnation(holder.incarnation().value())));
    return wire.build();
  }

  private static ClaimVote toWire(Vote vote) {
    return switch (vote) {
      case GRANTED -> ClaimVote.CLAIM_VOTE_GRANTED;
      case HELD -> ClaimVote.CLAIM_VOTE_HELD;
      case CONTESTED -> ClaimVote.CLAIM_VOTE_CONTESTED;
      case NOT_INFORMED -> ClaimVote.CLAIM_VOTE_NOT_INFORMED;
      case FULL -> ClaimVote.CLAIM_VOTE_FULL;
    };
  }

  private static ClaimStatusAnswer toWire(ClaimMessage.StatusAnswer answer) {
    ClaimStatusAnswer.Builder wire =
        ClaimStatusAnswer.newBuilder()
            .setAttempt(answer.attempt())
            .setKey(answer.key().value())
            .setStatus(toWire(answer.status()));
    answer.answer().ifPresent(held -> wire.setAnswer(ByteString.copyFrom(held.content())));
    return wire.build();
  }

  private static ClaimStatus toWire(Status status) {
    return switch (status) {
      case RUNNING -> ClaimStatus.CLAIM_STATUS_RUNNING;
      case COMPLETED -> ClaimStatus.CLAIM_STATUS_COMPLETED;
      case MAY_HAVE_RUN -> ClaimStatus.CLAIM_STATUS_MAY_HAVE_RUN;
      case NOT_RUN -> ClaimStatus.CLAIM_STATUS_NOT_RUN;
    };
  }

  /** Decodes an envelope; empty if a field is missing or out of range. */
  public static Optional<ClaimMessage> decode(ClaimEnvelope envelope) {
    return switch (envelope.getMessageCase()) {
      case VOTE_REQUEST -> fromWire(envelope.getVoteRequest());
      case VOTE_ANSWER -> fromWire(envelope.getVoteAnswer());
      case RELEASE -> fromWire(envelope.getRelease());
      case STATUS_REQUEST -> fromWire(envelope.getStatusRequest());
      case STATUS_ANSWER -> fromWire(envelope.getStatusAnswer());
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static Optional<RequestKey> key(String wire) {
    return WireChecks.isId(wire) ? Optional.of(new RequestKey(wire)) : Optional.empty();
  }

  private static Optional<ClaimMessage> fromWire(ClaimVoteRequest wire) {
    if (wire.getVersion() <= 0) {
      return Optional.empty();
    }
    return key(wire.getKey())
        .map(
            key ->
                new ClaimMessage.VoteRequest(
                    wire.getVersion(),
                    wire.getAttempt(),
                    new Incarnation(wire.getIncarnation()),
                    key));
  }

  private static Optional<ClaimMessage> fromWire(ClaimVoteAnswer wire) {
    Optional<Vote> vote = vote(wire.getVote());
    Optional<Holder> holder = wire.hasHolder() ? holder(wire.getHolder()) : Optional.empty();
    boolean isHeld = wire.getVote() == ClaimVote.CLAIM_VOTE_HELD;
    if (wire.getVersion() <= 0 || vote.isEmpty() || isHeld != holder.isPresent()) {
      return Optional.empty();
    }
    return key(wire.getKey())
        .map(
            key ->
                new ClaimMessage.VoteAnswer(
                    wire.getVersion(), wire.getAttempt(), key, vote.get(), holder));
  }

  private static Optional<ClaimMessage> fromWire(ClaimRelease wire) {
    return key(wire.getKey())
        .map(
            key ->
                new ClaimMessage.Release(
                    wire.getAttempt(), new Incarnation(wire.getIncarnation()), key));
  }

  private static Optional<ClaimMessage> fromWire(ClaimStatusRequest wire) {
    return key(wire.getKey())
        .map(
            key ->
                new ClaimMessage.StatusRequest(
                    wire.getAttempt(), new Incarnation(wire.getIncarnation()), key));
  }

  private static Optional<ClaimMessage> fromWire(ClaimStatusAnswer wire) {
    Optional<RequestKey> key = key(wire.getKey());
    Optional<Status> status = status(wire.getStatus());
    boolean isCompleted = wire.getStatus() == ClaimStatus.CLAIM_STATUS_COMPLETED;
    if (key.isEmpty()
        || status.isEmpty()
        || isCompleted != wire.hasAnswer()
        || wire.getAnswer().size() > ClaimAnswer.MAX_BYTES) {
      return Optional.empty();
    }
    Optional<ClaimAnswer> answer =
        wire.hasAnswer()
            ? Optional.of(new ClaimAnswer(wire.getAnswer().toByteArray()))
            : Optional.empty();
    return Optional.of(
        new ClaimMessage.StatusAnswer(wire.getAttempt(), key.get(), status.get(), answer));
  }

  private static Optional<Holder> holder(ClaimHolder wire) {
    return WireChecks.isId(wire.getVm())
        ? Optional.of(new Holder(new VmId(wire.getVm()), new Incarnation(wire.getIncarnation())))
        : Optional.empty();
  }

  private static Optional<Vote> vote(ClaimVote wire) {
    return switch (wire) {
      case CLAIM_VOTE_GRANTED -> Optional.of(Vote.GRANTED);
      case CLAIM_VOTE_HELD -> Optional.of(Vote.HELD);
      case CLAIM_VOTE_CONTESTED -> Optional.of(Vote.CONTESTED);
      case CLAIM_VOTE_NOT_INFORMED -> Optional.of(Vote.NOT_INFORMED);
      case CLAIM_VOTE_FULL -> Optional.of(Vote.FULL);
      case CLAIM_VOTE_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
    };
  }

  private static Optional<Status> status(ClaimStatus wire) {
    return switch (wire) {
      case CLAIM_STATUS_RUNNING -> Optional.of(Status.RUNNING);
      case CLAIM_STATUS_COMPLETED -> Optional.of(Status.COMPLETED);
      case CLAIM_STATUS_MAY_HAVE_RUN -> Optional.of(Status.MAY_HAVE_RUN);
      case CLAIM_STATUS_NOT_RUN -> Optional.of(Status.NOT_RUN);
      case CLAIM_STATUS_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
    };
  }
}
