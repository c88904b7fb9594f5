package org.ragworttide.coordination.id;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hash of a request's content, by which a repetition of the request is recognised.
 *
 * <p>Invariant: equal content of one organisation gives equal fingerprints. Immutable, safe for use
 * by any thread.
 *
 * @param high the first 64 bits
 * @param low the second 64 bits
 */
public record Fingerprint(long high, long low) implements Comparable<Fingerprint> {

  /** Returns the fingerprint of an organisation's request with the given content. */
  public static Fingerprint of(OrganisationId organisation, String route, byte[] content) {
    MessageDigest sha = sha256();
    sha.update((organisation.value() + '\n' + route + '\n').getBytes(StandardCharsets.UTF_8));
    ByteBuffer hash = ByteBuffer.wrap(sha.digest(content));
    return new Fingerprint(hash.getLong(), hash.getLong());
  }

  @Override
  public int compareTo(Fingerprint other) {
    int byHigh = Long.compare(high, other.high);
    return byHigh != 0 ? byHigh : Long.compare(low, other.low);
  }

  @Override
  public String toString() {
    return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }
}
