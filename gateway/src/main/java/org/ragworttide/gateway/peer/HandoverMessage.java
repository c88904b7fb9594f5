package org.ragworttide.gateway.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.streams.RememberedStream;
import org.ragworttide.coordination.streams.SoftwareVersion;
import org.ragworttide.coordination.streams.StreamId;

/**
 * Datagram between VMs by which one receives the streams that it is to keep.
 *
 * <p>The encoding is that of {@link StreamMessage} with other types: the marker, one byte for the
 * type and, by type, eight for the address of the VM that asks, or one that tells whether it is the
 * last datagram and seventeen for each stream: eight for the stream, eight for the version, one for
 * the seconds since its last use. Immutable, safe for use by any thread.
 */
sealed interface HandoverMessage {
  byte REQUEST = 9;
  byte STREAMS = 10;

  /** Streams in a datagram: with its headers it fits into one frame of any usual network. */
  int MAX_STREAMS = 64;

  int REQUEST_LENGTH = 2 + Long.BYTES;
  int STREAMS_HEAD = 3;
  int STREAM_LENGTH = 2 * Long.BYTES + 1;
  int MAX_SECONDS = 255;
  long MILLIS_PER_SECOND = 1_000;

  /**
   * Request for the streams that the VM that asks is to keep.
   *
   * @param asker the number of its address
   */
  record Request(long asker) implements HandoverMessage {}

  /**
   * Streams that the receiver is to keep.
   *
   * @param last whether the sender remembers no further streams for the receiver
   */
  record Streams(List<RememberedStream> streams, boolean last) implements HandoverMessage {
    /** Copies the streams. */
    public Streams {
      streams = List.copyOf(streams);
    }
  }

  /** Returns the encoded message. */
  default byte[] encode() {
    return switch (this) {
      case Request it ->
          ByteBuffer.allocate(REQUEST_LENGTH)
              .put(StreamMessage.MARKER)
              .put(REQUEST)
              .putLong(it.asker())
              .array();
      case Streams it -> {
        ByteBuffer out =
            ByteBuffer.allocate(STREAMS_HEAD + it.streams().size() * STREAM_LENGTH)
                .put(StreamMessage.MARKER)
                .put(STREAMS)
                .put((byte) (it.last() ? 1 : 0));
        for (RememberedStream stream : it.streams()) {
          out.putLong(stream.stream().value())
              .putLong(stream.version().value())
              .put((byte) Math.min(MAX_SECONDS, stream.unusedMillis() / MILLIS_PER_SECOND));
        }
        yield out.array();
      }
    };
  }

  /** Returns the decoded message, empty if the bytes are none. */
  static Optional<HandoverMessage> decode(byte[] bytes) {
    if (bytes.length < STREAMS_HEAD || bytes[0] != StreamMessage.MARKER) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
    byte type = in.get();
    if (type == REQUEST && bytes.length == REQUEST_LENGTH) {
      return Optional.of(new Request(in.getLong()));
    }
    if (type != STREAMS || (bytes.length - STREAMS_HEAD) % STREAM_LENGTH != 0) {
      return Optional.empty();
    }
    boolean last = in.get() == 1;
    List<RememberedStream> streams = new ArrayList<>();
    while (in.hasRemaining()) {
      streams.add(
          new RememberedStream(
              new StreamId(in.getLong()),
              new SoftwareVersion(in.getLong()),
              Byte.toUnsignedInt(in.get()) * MILLIS_PER_SECOND));
    }
    return Optional.of(new Streams(streams, last));
  }
}
