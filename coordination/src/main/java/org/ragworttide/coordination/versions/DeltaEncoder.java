package org.ragworttide.coordination.versions;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.versions.DocumentDelta.Piece;

/**
 * Computes the delta between two documents.
 *
 * <p>Invariant: applying the delta to the base yields the target. Documents are segmented after the
 * separators of JSON, so that one changed value changes one segment. Not safe for use by several
 * threads.
 */
final class DeltaEncoder {
  private static final int MAX_SEGMENT_BYTES = 256;

  private final byte[] base;
  private final byte[] target;
  private final List<Piece> pieces = new ArrayList<>();
  private final ByteArrayOutputStream literal = new ByteArrayOutputStream();
  private int copyOffset;
  private int copyLength;

  private DeltaEncoder(byte[] base, byte[] target) {
    this.base = base;
    this.target = target;
  }

  static DocumentDelta between(long baseVersion, byte[] base, long version, byte[] target) {
    List<Piece> pieces = new DeltaEncoder(base, target).pieces();
    return new DocumentDelta(
        baseVersion, version, DocumentDigest.of(target), target.length, pieces);
  }

  private List<Piece> pieces() {
    Map<ByteBuffer, Integer> offsets = new HashMap<>();
    for (int at = 0; at < base.length; at = segmentEnd(base, at)) {
      offsets.putIfAbsent(ByteBuffer.wrap(base, at, segmentEnd(base, at) - at).slice(), at);
    }
    for (int at = 0; at < target.length; at = segmentEnd(target, at)) {
      append(at, segmentEnd(target, at) - at, offsets);
    }
    endCopy();
    endLiteral();
    return pieces;
  }

  private void append(int at, int length, Map<ByteBuffer, Integer> offsets) {
    if (copyLength > 0 && continuesCopy(at, length)) {
      copyLength += length;
      return;
    }
    Integer offset = offsets.get(ByteBuffer.wrap(target, at, length).slice());
    endCopy();
    if (offset == null) {
      literal.write(target, at, length);
    } else {
      endLiteral();
      copyOffset = offset;
      copyLength = length;
    }
  }

  private boolean continuesCopy(int at, int length) {
    int next = copyOffset + copyLength;
    return next + length <= base.length
        && ByteBuffer.wrap(base, next, length).equals(ByteBuffer.wrap(target, at, length));
  }

  private void endCopy() {
    if (copyLength > 0) {
      pieces.add(new Piece.Copy(copyOffset, copyLength));
      copyLength = 0;
    }
  }

  private void endLiteral() {
    if (literal.size() > 0) {
      pieces.add(new Piece.Literal(literal.toByteArray()));
      literal.reset();
    }
  }

  private static int segmentEnd(byte[] document, int start) {
    int limit = Math.min(document.length, start + MAX_SEGMENT_BYTES);
    for (int i = start; i < limit; i++) {
      if (document[i] == '\n' || document[i] == ',' || document[i] == '}') {
        return i + 1;
      }
    }
    return limit;
  }
}
