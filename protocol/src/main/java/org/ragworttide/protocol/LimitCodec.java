package org.ragworttide.protocol;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.LimitMessage.Answer;
import org.ragworttide.coordination.message.LimitMessage.Ask;
import org.ragworttide.coordination.message.LimitMessage.Close;
import org.ragworttide.coordination.message.LimitMessage.Grant;
import org.ragworttide.coordination.message.LimitMessage.Want;
import org.ragworttide.protocol.wire.LimitAnswer;
import org.ragworttide.protocol.wire.LimitAsk;
import org.ragworttide.protocol.wire.LimitClose;
import org.ragworttide.protocol.wire.LimitEnvelope;
import org.ragworttide.protocol.wire.LimitGrant;
import org.ragworttide.protocol.wire.LimitWant;

/**
 * Converts fleet-wide rate limit messages to and from their Protocol Buffers form.
 *
 * <p>Invariant: decodes an envelope only if all its numbers are valid. Stateless, safe for use by
 * any thread.
 */
public final class LimitCodec {
  private static final int MAX_ENTRIES = 256;
  private static final int MAX_TOKENS = 4_096;
  private static final int MAX_MILLIS = 86_400_000;

  private LimitCodec() {}

  /** Encodes a message as an envelope. */
  public static LimitEnvelope encode(LimitMessage message) {
    LimitEnvelope.Builder envelope = LimitEnvelope.newBuilder();
    switch (message) {
      case Ask ask -> envelope.setAsk(toWire(ask));
      case Answer answer -> envelope.setAnswer(toWire(answer));
    }
    return envelope.build();
  }

  /** Decodes an envelope; empty if a field is missing or out of range. */
  public static Optional<LimitMessage> decode(LimitEnvelope envelope) {
    return switch (envelope.getMessageCase()) {
      case ASK -> fromWire(envelope.getAsk());
      case ANSWER -> fromWire(envelope.getAnswer());
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static LimitAsk toWire(Ask ask) {
    LimitAsk.Builder wire = LimitAsk.newBuilder().setAskId(ask.askId());
    for (Want want : ask.wants()) {
      wire.addWants(
          LimitWant.newBuilder()
              .setOrganisation(want.organisation().value())
              .setPart(want.part())
              .addAllRequests(want.requests())
              .setSpareTokens(want.spareTokens()));
    }
    for (Close close : ask.closes()) {
      wire.addCloses(
          LimitClose.newBuilder()
              .setPermitId(close.permitId())
              .setUsedAsAsked(close.usedAsAsked())
              .addAllRequests(close.requests()));
    }
    return wire.build();
  }

  private static LimitAnswer toWire(Answer answer) {
    LimitAnswer.Builder wire = LimitAnswer.newBuilder().setAskId(answer.askId());
    for (Grant grant : answer.grants()) {
      wire.addGrants(
          LimitGrant.newBuilder()
              .setOwned(grant.owned())
              .setPermitId(grant.permitId())
              .setTokens(grant.tokens())
              .setDurationMillis(grant.durationMillis())
              .setScarce(grant.scarce())
              .setRetryAfterMillis(grant.retryAfterMillis())
              .addAllCounted(grant.counted()));
    }
    return wire.build();
  }

  private static Optional<LimitMessage> fromWire(LimitAsk wire) {
    Optional<List<Want>> wants =
        WireChecks.decodeAll(wire.getWantsList(), MAX_ENTRIES, LimitCodec::fromWire);
    Optional<List<Close>> closes =
        WireChecks.decodeAll(wire.getClosesList(), MAX_ENTRIES, LimitCodec::fromWire);
    return wants.flatMap(wanted -> closes.map(closed -> new Ask(wire.getAskId(), wanted, closed)));
  }

  private static Optional<Want> fromWire(LimitWant wire) {
    boolean isValid =
        WireChecks.isId(wire.getOrganisation())
            && wire.getRequestsCount() <= MAX_ENTRIES
            && isWithin(wire.getSpareTokens(), MAX_TOKENS)
            && isWithin(wire.getPart(), MAX_ENTRIES);
    return isValid
        ? Optional.of(
            new Want(
                new OrganisationId(wire.getOrganisation()),
                wire.getPart(),
                wire.getRequestsList(),
                wire.getSpareTokens()))
        : Optional.empty();
  }

  private static Optional<Close> fromWire(LimitClose wire) {
    return wire.getRequestsCount() <= MAX_TOKENS
        ? Optional.of(new Close(wire.getPermitId(), wire.getUsedAsAsked(), wire.getRequestsList()))
        : Optional.empty();
  }

  private static Optional<LimitMessage> fromWire(LimitAnswer wire) {
    return WireChecks.decodeAll(wire.getGrantsList(), MAX_ENTRIES, LimitCodec::fromWire)
        .map(grants -> new Answer(wire.getAskId(), grants));
  }

  private static Optional<Grant> fromWire(LimitGrant wire) {
    boolean isValid =
        isWithin(wire.getTokens(), MAX_TOKENS)
            && isWithin(wire.getDurationMillis(), MAX_MILLIS)
            && isWithin(wire.getRetryAfterMillis(), MAX_MILLIS)
            && wire.getCountedCount() <= MAX_ENTRIES;
    return isValid
        ? Optional.of(
            new Grant(
                wire.getOwned(),
                wire.getPermitId(),
                wire.getTokens(),
                wire.getDurationMillis(),
                wire.getScarce(),
                wire.getRetryAfterMillis(),
                wire.getCountedList()))
        : Optional.empty();
  }

  private static boolean isWithin(int value, int max) {
    return value >= 0 && value <= max;
  }
}
