package org.ragworttide.gateway.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.zones.ZoneLosses;

/**
 * Encodes losses by service as {@link PeerStatement} describes. Stateless, safe for use by any
 * thread.
 */
final class ZoneLossCodec {
  private static final int BYTES = Integer.BYTES + 2 * (Short.BYTES + Integer.BYTES);
  private static final int MAX_REQUESTS = 0xffff;

  private ZoneLossCodec() {}

  static byte[] bytes(Map<Integer, ZoneLosses> losses) {
    ByteBuffer out = ByteBuffer.allocate(losses.size() * BYTES);
    losses.forEach(
        (service, loss) ->
            out.putInt(service)
                .putShort((short) Math.min(loss.nearRequests(), MAX_REQUESTS))
                .putInt(loss.nearMillis())
                .putShort((short) Math.min(loss.farRequests(), MAX_REQUESTS))
                .putInt(loss.farMillis()));
    return out.array();
  }

  static Map<Integer, ZoneLosses> losses(byte[] bytes) throws IOException {
    if (bytes.length % BYTES != 0) {
      throw new IOException("losses of " + bytes.length + " bytes");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    Map<Integer, ZoneLosses> losses = new HashMap<>();
    while (in.hasRemaining()) {
      losses.put(
          in.getInt(),
          new ZoneLosses(
              Short.toUnsignedInt(in.getShort()),
              in.getInt(),
              Short.toUnsignedInt(in.getShort()),
              in.getInt()));
    }
    return losses;
  }
}
