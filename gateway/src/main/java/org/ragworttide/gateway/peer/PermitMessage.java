package org.ragworttide.gateway.peer;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Datagram between VMs about a permit for a request to a cold upstream.
 *
 * <p>The encoding is that of {@link StreamMessage} with other types: the marker, one byte for the
 * type, eight for the number of the question and four for the upstream. Immutable, safe for use by
 * any thread.
 */
sealed interface PermitMessage {
  byte QUESTION = 6;
  byte GRANTED = 7;
  byte REFUSED = 8;

  /** Length of an encoded message in bytes. */
  int LENGTH = 2 + Long.BYTES + Integer.BYTES;

  /** Returns the number of the question, which the VM that asks has given it. */
  long number();

  /** Returns the key of the upstream's incarnation. */
  int upstream();

  /** Question whether a request may be sent to the upstream. */
  record Question(long number, int upstream) implements PermitMessage {}

  /** A request may be sent, if the answer arrives in time. */
  record Granted(long number, int upstream) implements PermitMessage {}

  /** No request may be sent. */
  record Refused(long number, int upstream) implements PermitMessage {}

  /** Returns the encoded message. */
  default byte[] encode() {
    byte type =
        switch (this) {
          case Question it -> QUESTION;
          case Granted it -> GRANTED;
          case Refused it -> REFUSED;
        };
    return ByteBuffer.allocate(LENGTH)
        .put(StreamMessage.MARKER)
        .put(type)
        .putLong(number())
        .putInt(upstream())
        .array();
  }

  /** Returns the decoded message, empty if the bytes are none. */
  static Optional<PermitMessage> decode(byte[] bytes) {
    if (bytes.length != LENGTH || bytes[0] != StreamMessage.MARKER) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, 1, LENGTH - 1);
    byte type = in.get();
    long number = in.getLong();
    int upstream = in.getInt();
    return switch (type) {
      case QUESTION -> Optional.of(new Question(number, upstream));
      case GRANTED -> Optional.of(new Granted(number, upstream));
      case REFUSED -> Optional.of(new Refused(number, upstream));
      default -> Optional.empty();
    };
  }
}
