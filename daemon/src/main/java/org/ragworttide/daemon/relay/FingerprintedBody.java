package org.ragworttide.daemon.relay;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Codec for the answer body stored with a claim: the body, prefixed with the fingerprint of the
 * request that it answers.
 *
 * <p>Invariant: a stored body is replayed only for the request that it answers. Stateless, safe for
 * use by any thread.
 */
final class FingerprintedBody {
  private static final int HEX_CHARS = 2 * Long.BYTES;

  private FingerprintedBody() {}

  /** Returns the body with its fingerprint prefix. */
  static byte[] wrap(String fingerprint, byte[] body) {
    return ByteBuffer.allocate(Long.BYTES + body.length)
        .putLong(fingerprintPrefix(fingerprint))
        .put(body)
        .array();
  }

  /** Returns whether the stored body answers the request with the fingerprint. */
  static boolean matches(byte[] stored, String fingerprint) {
    return stored.length >= Long.BYTES
        && ByteBuffer.wrap(stored).getLong() == fingerprintPrefix(fingerprint);
  }

  /** Returns the body without its fingerprint prefix. */
  static byte[] unwrap(byte[] stored) {
    return Arrays.copyOfRange(stored, Long.BYTES, stored.length);
  }

  private static long fingerprintPrefix(String fingerprint) {
    return HexFormat.fromHexDigitsToLong(fingerprint, 0, HEX_CHARS);
  }
}
