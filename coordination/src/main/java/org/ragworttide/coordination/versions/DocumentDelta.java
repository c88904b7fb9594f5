package org.ragworttide.coordination.versions;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Makes the document of one version out of that of an earlier one.
 *
 * <p>Invariant: a result whose length or digest differs from the promised one is never returned.
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
      throw new IllegalArgumentException("a delta must lead from a version to a later one");
    }
    pieces = List.copyOf(pieces);
  }

  /** A part of the result. */
  public sealed interface Piece {

    /**
     * Repeats a part of the base.
     *
     * @param offset where it starts in the base
     * @param length how long it is
     */
    record Copy(int offset, int length) implements Piece {}

    /**
     * Gives new bytes.
     *
     * @param bytes the bytes; not to be changed
     */
    record Literal(byte[] bytes) implements Piece {}
  }

  /** Returns the result, unless the base does not fit. */
  public Optional<byte[]> applyTo(byte[] base) {
    ByteArrayOutputStream result = new ByteArrayOutputStream(Math.min(lengthBytes, 1 << 20));
    for (Piece piece : pieces) {
      if (!append(piece, base, result) || result.size() > lengthBytes) {
        return Optional.empty();
      }
    }
    byte[] document = result.toByteArray();
    boolean right = document.length == lengthBytes && DocumentDigest.of(document).equals(digest);
    return right ? Optional.of(document) : Optional.empty();
  }

  /** Returns about how many bytes the delta takes in a message. */
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
