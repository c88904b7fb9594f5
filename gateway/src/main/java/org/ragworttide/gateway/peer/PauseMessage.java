package org.ragworttide.gateway.peer;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.ragworttide.coordination.placement.StatedAvailability;

/**
 * Datagram to a VM that has carried the response in which an upstream has asked for a pause.
 *
 * <p>The encoding is that of {@link StreamMessage} with another type: the marker, one byte for the
 * type, four for the upstream and four for the milliseconds. Immutable, safe for use by any thread.
 *
 * @param upstream the key of the upstream's incarnation
 * @param remainingMillis milliseconds until the pause ends, positive and at most {@link
 *     StatedAvailability#MAX_PAUSE_MILLIS}
 */
record PauseMessage(int upstream, int remainingMillis) {
  static final byte TYPE = 16;

  /** Length of an encoded message in bytes. */
  static final int LENGTH = 2 + 2 * Integer.BYTES;

  /** Checks the milliseconds. */
  PauseMessage {
    if (remainingMillis <= 0 || remainingMillis > StatedAvailability.MAX_PAUSE_MILLIS) {
      throw new IllegalArgumentException("remainingMillis out of range: " + remainingMillis);
    }
  }

  /** Returns the encoded message. */
  byte[] encode() {
    return ByteBuffer.allocate(LENGTH)
        .put(StreamMessage.MARKER)
        .put(TYPE)
        .putInt(upstream)
        .putInt(remainingMillis)
        .array();
  }

  /** Returns the decoded message, empty if the bytes are none. */
  static Optional<PauseMessage> decode(byte[] bytes) {
    if (bytes.length != LENGTH || bytes[0] != StreamMessage.MARKER || bytes[1] != TYPE) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, 2, LENGTH - 2);
    int upstream = in.getInt();
    int remainingMillis = in.getInt();
    return remainingMillis <= 0 || remainingMillis > StatedAvailability.MAX_PAUSE_MILLIS
        ? Optional.empty()
        : Optional.of(new PauseMessage(upstream, remainingMillis));
  }
}
