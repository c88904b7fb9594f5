package org.ragworttide.gateway.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.OptionalInt;
import org.ragworttide.coordination.placement.StatedTolerance;

/**
 * Encodes tolerances of rejections as {@link PeerStatement} describes. Stateless, safe for use by
 * any thread.
 */
final class ToleranceCodec {
  private static final int BYTES = Integer.BYTES + 2 * Short.BYTES;
  private static final short NONE = -1;

  private ToleranceCodec() {}

  static byte[] bytes(StatedTolerance tolerance) {
    return ByteBuffer.allocate(BYTES)
        .putInt(tolerance.service())
        .putShort(StatedAge.encode(tolerance.statedAtMillis()))
        .putShort((short) tolerance.rejectionsPerSecond().orElse(NONE))
        .array();
  }

  static StatedTolerance tolerance(byte[] bytes) throws IOException {
    if (bytes.length < BYTES) {
      throw new IOException("a tolerance of " + bytes.length + " bytes");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    int service = in.getInt();
    long statedAtMillis = StatedAge.decode(in);
    short rejections = in.getShort();
    return new StatedTolerance(
        service, rejections < 0 ? OptionalInt.empty() : OptionalInt.of(rejections), statedAtMillis);
  }
}
