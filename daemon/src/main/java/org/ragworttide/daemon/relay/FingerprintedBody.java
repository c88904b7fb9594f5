package org.ragworttide.daemon.relay;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * An answer's body as kept with its claim, marked with the request that it answers.
 *
 * <p>Invariant: a body is handed out only for the request that it was kept for. Stateless, safe for
 * use by any thread.
 */
final class FingerprintedBody {
  private static final int HEX_CHARS = 2 * Long.BYTES;

  private FingerprintedBody() {}

  /** Returns the body with its mark. */
  static byte[] wrap(String fingerprint, byte[] body) {
    return ByteBuffer.allocate(Long.BYTES + body.length)
        .putLong(mark(fingerprint))
        .put(body)
        .array();
  }

  /** Returns whether the kept body answers the request. */
  static boolean answers(byte[] kept, String fingerprint) {
    return kept.length >= Long.BYTES && ByteBuffer.wrap(kept).getLong() == mark(fingerprint);
  }

  /** Returns the body without its mark. */
  static byte[] unwrap(byte[] kept) {
    return Arrays.copyOfRange(kept, Long.BYTES, kept.length);
  }

  private static long mark(String fingerprint) {
    return HexFormat.fromHexDigitsToLong(fingerprint, 0, HEX_CHARS);
  }
}
