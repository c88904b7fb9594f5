package org.ragworttide.coordination.versions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Keeps the most recent deltas that led to the document in force.
 *
 * <p>Invariant: the base version of each delta is the version of the previous delta. Not safe for
 * use by several threads.
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

  /** Returns the chain from a version, empty if it is no longer kept or too large to send. */
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

  /** Returns the last delta only. */
  List<DocumentDelta> last() {
    return deltas.isEmpty() ? List.of() : List.of(deltas.getLast());
  }
}
