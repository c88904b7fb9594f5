package org.ragworttide.gateway.peer;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.ragworttide.coordination.placement.StatedTolerance;

/**
 * Datagram between VMs about a request to a brittle upstream.
 *
 * <p>The encoding is that of {@link PermitMessage} with other types, and two more bytes for a
 * figure. Immutable, safe for use by any thread.
 */
sealed interface BrittleMessage {
  byte QUESTION = 11;
  byte GRANTED = 12;
  byte REFUSED = 13;
  byte RUNNING = 14;
  byte ENDED = 15;

  /** Length of an encoded message in bytes. */
  int LENGTH = 2 + Long.BYTES + Integer.BYTES + Short.BYTES;

  /** Returns the number of the request, which the VM that sends it has given it. */
  long number();

  /** Returns the key of the upstream's incarnation. */
  int upstream();

  /** Question whether a request may be sent, and the rejections per second that are tolerated. */
  record Question(long number, int upstream, int tolerated) implements BrittleMessage {}

  /** A request may be sent, if the answer arrives in time. */
  record Granted(long number, int upstream) implements BrittleMessage {}

  /** No request may be sent. */
  record Refused(long number, int upstream) implements BrittleMessage {}

  /** A request was sent that the receiver may not count yet. */
  record Running(long number, int upstream, int tolerated) implements BrittleMessage {}

  /** A request has ended, or is not sent. */
  record Ended(long number, int upstream, boolean isRejected) implements BrittleMessage {}

  /** Returns the encoded message. */
  default byte[] encode() {
    return switch (this) {
      case Question it -> encode(QUESTION, it.tolerated());
      case Granted it -> encode(GRANTED, 0);
      case Refused it -> encode(REFUSED, 0);
      case Running it -> encode(RUNNING, it.tolerated());
      case Ended it -> encode(ENDED, it.isRejected() ? 1 : 0);
    };
  }

  private byte[] encode(byte type, int figure) {
    return ByteBuffer.allocate(LENGTH)
        .put(StreamMessage.MARKER)
        .put(type)
        .putLong(number())
        .putInt(upstream())
        .putShort((short) Math.min(StatedTolerance.MAX_REJECTIONS, figure))
        .array();
  }

  /** Returns the decoded message, empty if the bytes are none. */
  static Optional<BrittleMessage> decode(byte[] bytes) {
    if (bytes.length != LENGTH || bytes[0] != StreamMessage.MARKER) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, 1, LENGTH - 1);
    byte type = in.get();
    long number = in.getLong();
    int upstream = in.getInt();
    int figure = Math.max(0, in.getShort());
    return switch (type) {
      case QUESTION -> Optional.of(new Question(number, upstream, figure));
      case GRANTED -> Optional.of(new Granted(number, upstream));
      case REFUSED -> Optional.of(new Refused(number, upstream));
      case RUNNING -> Optional.of(new Running(number, upstream, figure));
      case ENDED -> Optional.of(new Ended(number, upstream, figure != 0));
      default -> Optional.empty();
    };
  }
}
