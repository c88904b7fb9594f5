package org.ragworttide.protocol;

import java.util.Optional;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.QuarantineMessage;
import org.ragworttide.coordination.message.VersionMessage;
import org.ragworttide.protocol.wire.PeerFrame;

/**
 * Converts messages of all topics to and from frames.
 *
 * <p>Invariant: a decoded message has passed the checks of its topic's codec. Stateless, safe for
 * use by any thread.
 */
public final class PeerFrameCodec {

  private PeerFrameCodec() {}

  /** Encodes a message as a frame. */
  public static PeerFrame encode(PeerMessage message) {
    PeerFrame.Builder frame = PeerFrame.newBuilder();
    switch (message) {
      case MembershipMessage topic -> frame.setMembership(MembershipCodec.encode(topic));
      case GroupMessage topic -> frame.setGroup(GroupCodec.encode(topic));
      case LeaseMessage topic -> frame.setLease(LeaseCodec.encode(topic));
      case ClaimMessage topic -> frame.setClaim(ClaimCodec.encode(topic));
      case LimitMessage topic -> frame.setLimit(LimitCodec.encode(topic));
      case VersionMessage topic -> frame.setVersion(VersionCodec.encode(topic));
      case QuarantineMessage topic -> frame.setQuarantine(QuarantineCodec.encode(topic));
      case AdmissionMessage topic -> frame.setAdmission(AdmissionCodec.encode(topic));
    }
    return frame.build();
  }

  /** Decodes the message in a frame; empty if its topic is unknown or a field is invalid. */
  public static Optional<PeerMessage> decode(PeerFrame frame) {
    Optional<? extends PeerMessage> message =
        switch (frame.getTopicCase()) {
          case MEMBERSHIP -> MembershipCodec.decode(frame.getMembership());
          case LIMIT -> LimitCodec.decode(frame.getLimit());
          case VERSION -> VersionCodec.decode(frame.getVersion());
          case QUARANTINE -> QuarantineCodec.decode(frame.getQuarantine());
          case ADMISSION -> AdmissionCodec.decode(frame.getAdmission());
          case GROUP -> GroupCodec.decode(frame.getGroup());
          case LEASE -> LeaseCodec.decode(frame.getLease());
          case CLAIM -> ClaimCodec.decode(frame.getClaim());
          case HELLO, TOPIC_NOT_SET -> Optional.empty();
        };
    return message.map(PeerMessage.class::cast);
  }
}
