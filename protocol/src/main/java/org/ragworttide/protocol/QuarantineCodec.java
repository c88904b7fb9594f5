package org.ragworttide.protocol;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.message.QuarantineMessage;
import org.ragworttide.protocol.wire.QuarantineEnvelope;
import org.ragworttide.protocol.wire.QuarantineSummary;
import org.ragworttide.protocol.wire.RunAnswer;
import org.ragworttide.protocol.wire.UpstreamDeath;

/**
 * Converts quarantine messages to and from their Protocol Buffers form.
 *
 * <p>Invariant: decodes an envelope only if all its fields are valid. Stateless, safe for use by
 * any thread.
 */
public final class QuarantineCodec {
  private static final int FINGERPRINT_BYTES = 16;
  private static final int MAX_FINGERPRINTS = 256;

  private QuarantineCodec() {}

  /** Encodes a message as an envelope. */
  public static QuarantineEnvelope encode(QuarantineMessage message) {
    QuarantineEnvelope.Builder envelope = QuarantineEnvelope.newBuilder();
    switch (message) {
      case QuarantineMessage.Died died -> envelope.setDeath(toWire(died));
      case QuarantineMessage.RunRequest request ->
          envelope.setRunRequest(
              org.ragworttide.protocol.wire.RunRequest.newBuilder()
                  .setRequestId(request.requestId())
                  .setFingerprint(toWire(request.fingerprint())));
      case QuarantineMessage.RunReply reply ->
          envelope.setRunReply(
              org.ragworttide.protocol.wire.RunReply.newBuilder()
                  .setRequestId(reply.requestId())
                  .setAnswer(toWire(reply.answer()))
                  .setRetryAfterMillis(reply.retryAfterMillis()));
      case QuarantineMessage.RunEnded ended ->
          envelope.setRunEnded(
              org.ragworttide.protocol.wire.RunEnded.newBuilder()
                  .setRequestId(ended.requestId())
                  .setFingerprint(toWire(ended.fingerprint())));
      case QuarantineMessage.Summary summary ->
          envelope.setSummary(QuarantineSummary.newBuilder().setHash(summary.hash()));
    }
    return envelope.build();
  }

  /** Decodes an envelope; empty if a field is missing or out of range. */
  public static Optional<QuarantineMessage> decode(QuarantineEnvelope envelope) {
    return switch (envelope.getMessageCase()) {
      case DEATH -> fromWire(envelope.getDeath());
      case RUN_REQUEST ->
          fromWire(envelope.getRunRequest().getFingerprint())
              .map(
                  fingerprint ->
                      new QuarantineMessage.RunRequest(
                          envelope.getRunRequest().getRequestId(), fingerprint));
      case RUN_REPLY -> fromWire(envelope.getRunReply());
      case RUN_ENDED ->
          fromWire(envelope.getRunEnded().getFingerprint())
              .map(
                  fingerprint ->
                      new QuarantineMessage.RunEnded(
                          envelope.getRunEnded().getRequestId(), fingerprint));
      case SUMMARY -> Optional.of(new QuarantineMessage.Summary(envelope.getSummary().getHash()));
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static UpstreamDeath toWire(QuarantineMessage.Died died) {
    return UpstreamDeath.newBuilder()
        .setDeath(died.death())
        .addAllFingerprints(died.fingerprints().stream().map(QuarantineCodec::toWire).toList())
        .setAgeMillis(died.ageMillis())
        .build();
  }

  private static ByteString toWire(Fingerprint fingerprint) {
    ByteBuffer bytes = ByteBuffer.allocate(FINGERPRINT_BYTES);
    bytes.putLong(fingerprint.high()).putLong(fingerprint.low()).flip();
    return ByteString.copyFrom(bytes);
  }

  private static RunAnswer toWire(QuarantineMessage.RunAnswer answer) {
    return switch (answer) {
      case PERMITTED -> RunAnswer.RUN_ANSWER_PERMITTED;
      case BUSY -> RunAnswer.RUN_ANSWER_BUSY;
      case REFUSED -> RunAnswer.RUN_ANSWER_REFUSED;
    };
  }

  private static Optional<QuarantineMessage> fromWire(UpstreamDeath wire) {
    if (wire.getAgeMillis() < 0 || wire.getFingerprintsCount() == 0) {
      return Optional.empty();
    }
    return WireChecks.decodeAll(
            wire.getFingerprintsList(), MAX_FINGERPRINTS, QuarantineCodec::fromWire)
        .map(
            fingerprints ->
                new QuarantineMessage.Died(wire.getDeath(), fingerprints, wire.getAgeMillis()));
  }

  private static Optional<Fingerprint> fromWire(ByteString wire) {
    if (wire.size() != FINGERPRINT_BYTES) {
      return Optional.empty();
    }
    ByteBuffer bytes = wire.asReadOnlyByteBuffer();
    return Optional.of(new Fingerprint(bytes.getLong(), bytes.getLong()));
  }

  private static Optional<QuarantineMessage> fromWire(org.ragworttide.protocol.wire.RunReply wire) {
    if (wire.getRetryAfterMillis() < 0) {
      return Optional.empty();
    }
    return fromWire(wire.getAnswer())
        .map(
            answer ->
                new QuarantineMessage.RunReply(
                    wire.getRequestId(), answer, wire.getRetryAfterMillis()));
  }

  private static Optional<QuarantineMessage.RunAnswer> fromWire(RunAnswer wire) {
    return switch (wire) {
      case RUN_ANSWER_PERMITTED -> Optional.of(QuarantineMessage.RunAnswer.PERMITTED);
      case RUN_ANSWER_BUSY -> Optional.of(QuarantineMessage.RunAnswer.BUSY);
      case RUN_ANSWER_REFUSED -> Optional.of(QuarantineMessage.RunAnswer.REFUSED);
      case RUN_ANSWER_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
    };
  }
}
