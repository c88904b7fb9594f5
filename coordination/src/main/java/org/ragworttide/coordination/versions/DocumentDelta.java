package org.ragworttide.coordination.versions;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Delta from the document of one version to that of a later version.
 *
 * <p>Invariant: a result whose length or digest differs from the stated one is never returned.
 * Immutable, safe for use by any thread.
 *
 * @param baseVersion version of the earlier document
 * @param version version of the result, above the base version
 * @param digest digest of the result
 * @param lengthBytes length of the result
 * @param pieces parts of the result, in order
 */
public record DocumentDelta(
    long baseVersion, long version, DocumentDigest digest, int lengthBytes, List<Piece> pieces) {
  private static final int VERSIONS_BYTES = 16;
  private static final int COPY_BYTES = 10;
  private static final int LITERAL_FRAME_BYTES = 6;

  /** Checks the versions and copies the pieces. */
  public DocumentDelta {
    Objects.requireNonNull(digest, "digest");
    if (baseVersion <= 0 || version <= baseVersion || lengthBytes < 0) {
      throw new IllegalArgumentException("the version of a delta must be above its base version");
    }
    pieces = List.copyOf(pieces);
  }

  /** A part of the result. */
  public sealed interface Piece {

    /**
     * Copies a range of the base.
     *
     * @param offset offset of the range in the base
     * @param length length of the range in bytes
     */
    record Copy(int offset, int length) implements Piece {}

    /**
     * Inserts new bytes.
     *
     * @param bytes the bytes; not to be changed
     */
    record Literal(byte[] bytes) implements Piece {}
  }

  /** Returns the result, or empty if the base is not the one that the delta was computed from. */
  public Optional<byte[]> applyTo(byte[] base) {
    ByteArrayOutputStream result = new ByteArrayOutputStream(Math.min(lengthBytes, 1 << 20));
    for (Piece piece : pieces) {
      if (!append(piece, base, result) || result.size() > lengthBytes) {
        return Optional.empty();
      }
    }
    byte[] document = result.toByteArray();
    boolean matches = document.length == lengthBytes && DocumentDigest.of(document).equals(digest);
    return matches ? Optional.of(document) : Optional.empty();
  }

  /** Returns the approximate size of the delta in a message. */
  public int sizeBytes() {
    int pieceBytes = pieces.stream().mapToInt(DocumentDelta::sizeBytes).sum();
    return DocumentDigest.LENGTH_BYTES + VERSIONS_BYTES + pieceBytes;
  }

  private static int sizeBytes(Piece piece) {
    return switch (piece) {
      case Piece.Copy copy -> COPY_BYTES;
      case Piece.Literal literal -> literal.bytes().length + LITERAL_FRAME_BYTES;
    };
  }

  private static boolean append(Piece piece, byte[] base, ByteArrayOutputStream result) {
    switch (piece) {
      case Piece.Copy copy -> {
        long end = (long) copy.offset() + copy.length();
        if (copy.offset() < 0 || copy.length() < 0 || end > base.length) {
          return false;
        }
        result.write(base, copy.offset(), copy.length());
      }
      case Piece.Literal literal -> result.writeBytes(literal.bytes());
    }
    return true;
  }
}
