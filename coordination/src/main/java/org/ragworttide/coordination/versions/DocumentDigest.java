package org.ragworttide.coordination.versions;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of a configuration document.
 *
 * <p>Invariant: 64 lower-case hexadecimal digits. Immutable, safe for use by any thread.
 *
 * @param hex the digest in hexadecimal
 */
public record DocumentDigest(String hex) {
  /** Length of a digest in bytes. */
  public static final int LENGTH_BYTES = 32;

  /** Checks the length and the digits. */
  public DocumentDigest {
    if (hex.length() != 2 * LENGTH_BYTES || !hex.chars().allMatch(DocumentDigest::isHexDigit)) {
      throw new IllegalArgumentException("a SHA-256 digest needs 64 lower-case hexadecimal digits");
    }
  }

  /** Returns the digest of the document. */
  public static DocumentDigest of(byte[] document) {
    try {
      return fromBytes(MessageDigest.getInstance("SHA-256").digest(document));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }

  /** Returns the digest with the given bytes, the inverse of {@link #toBytes}. */
  public static DocumentDigest fromBytes(byte[] bytes) {
    return new DocumentDigest(HexFormat.of().formatHex(bytes));
  }

  /** Returns the digest as bytes. */
  public byte[] toBytes() {
    return HexFormat.of().parseHex(hex);
  }

  private static boolean isHexDigit(int c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  }
}
