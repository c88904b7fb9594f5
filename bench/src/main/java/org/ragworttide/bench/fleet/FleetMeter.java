package org.ragworttide.bench.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.protocol.PeerFrameCodec;
import org.ragworttide.protocol.wire.PeerFrame;

/**
 * Encodes and decodes every message as a daemon does and counts the bytes per VM and topic.
 *
 * <p>Invariant: the counts cover the length-prefixed frames, without the TCP and IP headers. Not
 * safe for use by several threads.
 */
final class FleetMeter {
  private static final int LENGTH_BYTES = 4;

  private final Map<Topic, Map<VmId, Long>> sent = new EnumMap<>(Topic.class);
  private final Map<Topic, Map<VmId, Long>> received = new EnumMap<>(Topic.class);
  private final Map<VmId, Long> sentThisSecond = new HashMap<>();
  private long maxSentPerSecond;

  FleetMeter() {
    reset();
  }

  void record(VmId from, VmId to, PeerMessage message) {
    byte[] bytes = PeerFrameCodec.encode(message).toByteArray();
    decode(bytes);
    Topic topic = Topic.of(message);
    long size = LENGTH_BYTES + bytes.length;
    sent.get(topic).merge(from, size, Long::sum);
    received.get(topic).merge(to, size, Long::sum);
    sentThisSecond.merge(from, size, Long::sum);
  }

  /** Ends the current second and updates the maximum that one VM has sent in a second. */
  void endSecond() {
    maxSentPerSecond = Math.max(maxSentPerSecond, max(sentThisSecond));
    sentThisSecond.clear();
  }

  void reset() {
    for (Topic topic : Topic.values()) {
      sent.put(topic, new HashMap<>());
      received.put(topic, new HashMap<>());
    }
    sentThisSecond.clear();
    maxSentPerSecond = 0;
  }

  /** Returns the bytes that all VMs sent in messages of the topic. */
  long sent(Topic topic) {
    return sent.get(topic).values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the most bytes that any VM sent in messages of the topic. */
  long maxSent(Topic topic) {
    return max(sent.get(topic));
  }

  /** Returns the most bytes that any VM sent. */
  long maxSent() {
    return max(total(sent));
  }

  /** Returns the most bytes that any VM received. */
  long maxReceived() {
    return max(total(received));
  }

  /** Returns the most bytes that any VM sent within one second. */
  long maxSentPerSecond() {
    return maxSentPerSecond;
  }

  private static Map<VmId, Long> total(Map<Topic, Map<VmId, Long>> byTopic) {
    Map<VmId, Long> total = new HashMap<>();
    for (Map<VmId, Long> bytes : byTopic.values()) {
      bytes.forEach((vm, count) -> total.merge(vm, count, Long::sum));
    }
    return total;
  }

  private static long max(Map<VmId, Long> bytes) {
    return bytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  private static void decode(byte[] bytes) {
    try {
      if (PeerFrameCodec.decode(PeerFrame.parseFrom(bytes)).isEmpty()) {
        throw new IllegalStateException("the codec rejects a message that it has encoded");
      }
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("the codec rejects a message that it has encoded", e);
    }
  }
}
