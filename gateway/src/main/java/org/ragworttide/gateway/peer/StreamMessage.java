package org.ragworttide.gateway.peer;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.ragworttide.coordination.streams.SoftwareVersion;
import org.ragworttide.coordination.streams.StreamId;

/**
 * Datagram between VMs about the software version that began a stream.
 *
 * <p>The encoding is a byte that no {@link PeerStatement} begins with, one for the type, eight for
 * the stream and, by type, eight for the version or the address of the VM that asks. Immutable,
 * safe for use by any thread.
 */
sealed interface StreamMessage {
  /** First byte: the tag of a protobuf field is never zero. */
  byte MARKER = 0;

  byte BEGUN = 1;
  byte QUESTION = 2;
  byte FORWARDED_QUESTION = 3;
  byte KNOWN = 4;
  byte NOT_KNOWN = 5;

  /** Returns the stream. */
  StreamId stream();

  /** The stream was begun by the version; the receiver remembers it. */
  record Begun(StreamId stream, SoftwareVersion version) implements StreamMessage {}

  /**
   * Question for the version that began the stream.
   *
   * @param asker the number of the address that awaits the answer
   * @param forwarded whether the receiver answers only for itself; it otherwise asks the keepers
   */
  record Question(StreamId stream, long asker, boolean forwarded) implements StreamMessage {}

  /** The version that began the stream. */
  record Known(StreamId stream, SoftwareVersion version) implements StreamMessage {}

  /** The sender does not remember the stream. */
  record NotKnown(StreamId stream) implements StreamMessage {}

  /** Returns the encoded message. */
  default byte[] encode() {
    return switch (this) {
      case Begun it -> bytes(BEGUN, it.version().value());
      case Question it -> bytes(it.forwarded() ? FORWARDED_QUESTION : QUESTION, it.asker());
      case Known it -> bytes(KNOWN, it.version().value());
      case NotKnown it -> bytes(NOT_KNOWN, 0);
    };
  }

  private byte[] bytes(byte type, long content) {
    return ByteBuffer.allocate(LENGTH)
        .put(MARKER)
        .put(type)
        .putLong(stream().value())
        .putLong(content)
        .array();
  }

  /** Length of an encoded message in bytes. */
  int LENGTH = 2 + 2 * Long.BYTES;

  /** Returns the decoded message, empty if the bytes are none. */
  static Optional<StreamMessage> decode(byte[] bytes) {
    if (bytes.length != LENGTH || bytes[0] != MARKER) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, 1, LENGTH - 1);
    byte type = in.get();
    StreamId stream = new StreamId(in.getLong());
    long content = in.getLong();
    return switch (type) {
      case BEGUN -> Optional.of(new Begun(stream, new SoftwareVersion(content)));
      case QUESTION -> Optional.of(new Question(stream, content, false));
      case FORWARDED_QUESTION -> Optional.of(new Question(stream, content, true));
      case KNOWN -> Optional.of(new Known(stream, new SoftwareVersion(content)));
      case NOT_KNOWN -> Optional.of(new NotKnown(stream));
      default -> Optional.empty();
    };
  }
}
