package org.ragworttide.bench.coordination;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.VersionMessage;
import org.ragworttide.coordination.net.MessageTap;
import org.ragworttide.protocol.LimitCodec;
import org.ragworttide.protocol.MembershipCodec;
import org.ragworttide.protocol.VersionCodec;
import org.ragworttide.protocol.wire.PeerFrame;

/**
 * Encodes and decodes every message as a daemon does and counts the bytes per VM.
 *
 * <p>Invariant: the counts cover the length-prefixed frames, without the TCP and IP headers. Not
 * safe for use by several threads.
 */
final class TrafficMeter implements MessageTap {
  private static final int LENGTH_PREFIX_BYTES = 2;

  private final Map<VmId, Long> sent = new HashMap<>();
  private final Map<VmId, Long> received = new HashMap<>();
  private long messages;

  @Override
  public void sent(VmId from, VmId to, PeerMessage message) {
    PeerFrame frame = frame(message);
    byte[] bytes = frame.toByteArray();
    decode(bytes);
    long size = LENGTH_PREFIX_BYTES + bytes.length;
    messages++;
    sent.merge(from, size, Long::sum);
    received.merge(to, size, Long::sum);
  }

  void reset() {
    sent.clear();
    received.clear();
    messages = 0;
  }

  long messages() {
    return messages;
  }

  double meanSent(int vms) {
    return sent.values().stream().mapToLong(Long::longValue).sum() / (double) vms;
  }

  /** Returns the most bytes that any VM sent. */
  long maxSent() {
    return sent.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  /** Returns the most bytes that any VM received. */
  long maxReceived() {
    return received.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  private static PeerFrame frame(PeerMessage message) {
    PeerFrame.Builder frame = PeerFrame.newBuilder();
    return switch (message) {
      case LimitMessage limit -> frame.setLimit(LimitCodec.encode(limit)).build();
      case MembershipMessage view -> frame.setMembership(MembershipCodec.encode(view)).build();
      case VersionMessage version -> frame.setVersion(VersionCodec.encode(version)).build();
      default -> throw new IllegalArgumentException("no codec for message: " + message);
    };
  }

  private static void decode(byte[] bytes) {
    try {
      PeerFrame frame = PeerFrame.parseFrom(bytes);
      boolean decoded =
          switch (frame.getTopicCase()) {
            case LIMIT -> LimitCodec.decode(frame.getLimit()).isPresent();
            case MEMBERSHIP -> MembershipCodec.decode(frame.getMembership()).isPresent();
            case VERSION -> VersionCodec.decode(frame.getVersion()).isPresent();
            default -> false;
          };
      if (!decoded) {
        throw new IllegalStateException(
            "the codec rejects a message that it has encoded: " + frame);
      }
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("the codec rejects a message that it has encoded", e);
    }
  }
}
