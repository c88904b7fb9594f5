package org.ragworttide.gateway.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.OptionalDouble;
import org.ragworttide.coordination.placement.StatedLimit;

/**
 * Encodes request limits as {@link PeerStatement} describes. Stateless, safe for use by any thread.
 */
final class LimitCodec {
  private static final int BYTES = Integer.BYTES + Short.BYTES + Integer.BYTES;
  private static final double UNITS_PER_REQUEST = 1_000;
  private static final int NONE = -1;

  private LimitCodec() {}

  static byte[] bytes(StatedLimit limit) {
    return ByteBuffer.allocate(BYTES)
        .putInt(limit.upstream())
        .putShort(StatedAge.encode(limit.namedAtMillis()))
        .putInt(units(limit.perSecond()))
        .array();
  }

  static StatedLimit limit(byte[] bytes) throws IOException {
    if (bytes.length < BYTES) {
      throw new IOException("a request limit of " + bytes.length + " bytes");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    int upstream = in.getInt();
    long namedAtMillis = StatedAge.decode(in);
    int units = in.getInt();
    OptionalDouble perSecond =
        units < 0 ? OptionalDouble.empty() : OptionalDouble.of(units / UNITS_PER_REQUEST);
    return new StatedLimit(upstream, perSecond, namedAtMillis);
  }

  private static int units(OptionalDouble perSecond) {
    return perSecond.isPresent()
        ? (int) Math.round(perSecond.getAsDouble() * UNITS_PER_REQUEST)
        : NONE;
  }
}
