package org.ragworttide.protocol;

import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.AdmissionMessage.Ask;
import org.ragworttide.coordination.message.AdmissionMessage.Feedback;
import org.ragworttide.coordination.message.AdmissionMessage.Grant;
import org.ragworttide.coordination.message.AdmissionMessage.TurnedCold;
import org.ragworttide.coordination.message.AdmissionMessage.Warm;
import org.ragworttide.protocol.wire.AdmissionAsk;
import org.ragworttide.protocol.wire.AdmissionEnvelope;
import org.ragworttide.protocol.wire.AdmissionFeedback;
import org.ragworttide.protocol.wire.AdmissionGrant;
import org.ragworttide.protocol.wire.AdmissionTurnedCold;
import org.ragworttide.protocol.wire.AdmissionWarm;

/**
 * Converts messages on admission to cold upstreams to and from their Protocol Buffers form.
 *
 * <p>Invariant: an envelope with values that no daemon sends decodes to an empty result. Stateless,
 * safe for use by any thread.
 */
public final class AdmissionCodec {

  private AdmissionCodec() {}

  /** Encodes a message as an envelope. */
  public static AdmissionEnvelope encode(AdmissionMessage message) {
    AdmissionEnvelope.Builder envelope = AdmissionEnvelope.newBuilder();
    switch (message) {
      case Ask ask -> envelope.setAsk(ask(ask));
      case Grant grant -> envelope.setGrant(grant(grant));
      case Warm warm -> envelope.setWarm(warm(warm));
      case Feedback feedback -> envelope.setFeedback(feedback(feedback));
      case TurnedCold notice -> envelope.setTurnedCold(turnedCold(notice));
    }
    return envelope.build();
  }

  /** Decodes an envelope; empty if a field is missing or out of range. */
  public static Optional<AdmissionMessage> decode(AdmissionEnvelope envelope) {
    try {
      return switch (envelope.getKindCase()) {
        case ASK -> Optional.of(ask(envelope.getAsk()));
        case GRANT -> Optional.of(grant(envelope.getGrant()));
        case WARM -> Optional.of(warm(envelope.getWarm()));
        case FEEDBACK -> Optional.of(feedback(envelope.getFeedback()));
        case TURNED_COLD -> Optional.of(turnedCold(envelope.getTurnedCold()));
        case KIND_NOT_SET -> Optional.empty();
      };
    } catch (IllegalArgumentException invalid) {
      return Optional.empty();
    }
  }

  private static AdmissionAsk ask(Ask ask) {
    return AdmissionAsk.newBuilder()
        .setUpstream(ask.upstream().value())
        .setUpstreamIncarnation(ask.upstreamIncarnation())
        .setAsker(ask.asker())
        .setNumber(ask.number())
        .setAbandonedFrom(ask.abandonedFrom())
        .setPermits(ask.permits())
        .build();
  }

  private static Ask ask(AdmissionAsk ask) {
    return new Ask(
        new UpstreamId(ask.getUpstream()),
        ask.getUpstreamIncarnation(),
        ask.getAsker(),
        ask.getNumber(),
        ask.getAbandonedFrom(),
        ask.getPermits());
  }

  private static AdmissionGrant grant(Grant grant) {
    return AdmissionGrant.newBuilder()
        .setUpstream(grant.upstream().value())
        .setAsker(grant.asker())
        .setNumber(grant.number())
        .setFirstPermit(grant.firstPermit())
        .setPermits(grant.permits())
        .setValidMillis(grant.validMillis())
        .build();
  }

  private static Grant grant(AdmissionGrant grant) {
    return new Grant(
        new UpstreamId(grant.getUpstream()),
        grant.getAsker(),
        grant.getNumber(),
        grant.getFirstPermit(),
        grant.getPermits(),
        grant.getValidMillis());
  }

  private static AdmissionWarm warm(Warm warm) {
    return AdmissionWarm.newBuilder()
        .setUpstream(warm.upstream().value())
        .setUpstreamIncarnation(warm.upstreamIncarnation())
        .setAsker(warm.asker())
        .setNumber(warm.number())
        .build();
  }

  private static Warm warm(AdmissionWarm warm) {
    return new Warm(
        new UpstreamId(warm.getUpstream()),
        warm.getUpstreamIncarnation(),
        warm.getAsker(),
        warm.getNumber());
  }

  private static AdmissionFeedback feedback(Feedback feedback) {
    return AdmissionFeedback.newBuilder()
        .setUpstream(feedback.upstream().value())
        .setUpstreamIncarnation(feedback.upstreamIncarnation())
        .setAsker(feedback.asker())
        .setNumber(feedback.number())
        .setSucceeded(feedback.succeeded())
        .setFailed(feedback.failed())
        .setSlow(feedback.slow())
        .addAllReturned(feedback.returned())
        .build();
  }

  private static Feedback feedback(AdmissionFeedback feedback) {
    return new Feedback(
        new UpstreamId(feedback.getUpstream()),
        feedback.getUpstreamIncarnation(),
        feedback.getAsker(),
        feedback.getNumber(),
        feedback.getSucceeded(),
        feedback.getFailed(),
        feedback.getSlow(),
        feedback.getReturnedList());
  }

  private static AdmissionTurnedCold turnedCold(TurnedCold notice) {
    return AdmissionTurnedCold.newBuilder()
        .setUpstream(notice.upstream().value())
        .setUpstreamIncarnation(notice.upstreamIncarnation())
        .setEpisode(notice.episode())
        .setRelay(notice.relay())
        .build();
  }

  private static TurnedCold turnedCold(AdmissionTurnedCold notice) {
    return new TurnedCold(
        new UpstreamId(notice.getUpstream()),
        notice.getUpstreamIncarnation(),
        notice.getEpisode(),
        notice.getRelay());
  }
}
