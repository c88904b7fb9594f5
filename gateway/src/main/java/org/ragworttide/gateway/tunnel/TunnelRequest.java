package org.ragworttide.gateway.tunnel;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Request of a VM that another VM connects it to an upstream: a byte that tells it from other
 * messages, four bytes of the upstream's incarnation key, and the id of the caller's request.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param upstream the key of the upstream's incarnation
 * @param requestId the id of the caller's request, for logs; only its first bytes are sent
 */
public record TunnelRequest(int upstream, String requestId) {
  private static final byte KIND = 'T';
  private static final int FIXED_BYTES = 1 + Integer.BYTES;
  private static final int LENGTH_BYTES = Integer.BYTES;

  /** Most bytes of an id that are sent, so that a request fits into the first message of a VM. */
  static final int MAX_ID_BYTES = 40;

  /** Writes the request, preceded by its length. */
  void encode(ByteBuf out) {
    byte[] id = requestId.getBytes(StandardCharsets.UTF_8);
    int idBytes = Math.min(id.length, MAX_ID_BYTES);
    out.ensureWritable(LENGTH_BYTES + FIXED_BYTES + idBytes);
    out.writeInt(FIXED_BYTES + idBytes).writeByte(KIND).writeInt(upstream);
    out.writeBytes(id, 0, idBytes);
  }

  /** Returns the request that a message contains, empty if it is none. */
  static Optional<TunnelRequest> decode(ByteBuf message) {
    int bytes = message.readableBytes();
    if (bytes < FIXED_BYTES
        || bytes > FIXED_BYTES + MAX_ID_BYTES
        || message.getByte(message.readerIndex()) != KIND) {
      return Optional.empty();
    }
    int upstream = message.getInt(message.readerIndex() + 1);
    int idAt = message.readerIndex() + FIXED_BYTES;
    return Optional.of(
        new TunnelRequest(
            upstream, message.toString(idAt, bytes - FIXED_BYTES, StandardCharsets.UTF_8)));
  }
}
