package org.ragworttide.coordination.versions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Keeps the last changes that led to the document in force.
 *
 * <p>Invariant: each kept delta starts at the version where the one before ends. Not safe for use
 * by several threads.
 */
final class DeltaChain {
  static final int MAX_SENT_BYTES = 2_048;
  private static final int MAX_DELTAS = 16;

  private final Deque<DocumentDelta> deltas = new ArrayDeque<>();

  void add(DocumentDelta delta) {
    if (!deltas.isEmpty() && deltas.getLast().version() != delta.baseVersion()) {
      deltas.clear();
    }
    if (delta.sizeBytes() > MAX_SENT_BYTES) {
      deltas.clear();
      return;
    }
    deltas.addLast(delta);
    if (deltas.size() > MAX_DELTAS) {
      deltas.removeFirst();
    }
  }

  void clear() {
    deltas.clear();
  }

  /** Returns the chain from a version, or nothing if it is not kept or too large to send. */
  List<DocumentDelta> since(long version) {
    List<DocumentDelta> chain = new ArrayList<>();
    for (DocumentDelta delta : deltas) {
      if (!chain.isEmpty() || delta.baseVersion() == version) {
        chain.add(delta);
      }
    }
    int size = chain.stream().mapToInt(DocumentDelta::sizeBytes).sum();
    return size <= MAX_SENT_BYTES ? chain : List.of();
  }

  /** Returns the last change alone. */
  List<DocumentDelta> last() {
    return deltas.isEmpty() ? List.of() : List.of(deltas.getLast());
  }
}
