package org.ragworttide.gateway.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Items that are included in several consecutive statements, because any statement may be lost.
 *
 * <p>Invariant: a statement includes at most {@code maxItems} items, the newest first. Confined to
 * the event loop.
 */
final class RepeatedItems<T> {
  /** Statements that include the same item: two losses in a row are rare. */
  private static final int STATEMENTS_PER_ITEM = 3;

  private final Deque<List<T>> recent = new ArrayDeque<>();
  private final int maxItems;

  RepeatedItems(int maxItems) {
    this.maxItems = maxItems;
  }

  /** Adds the new items and returns those to include in the next statement. */
  List<T> next(List<T> added) {
    recent.addFirst(added);
    if (recent.size() > STATEMENTS_PER_ITEM) {
      recent.removeLast();
    }
    List<T> all = new ArrayList<>();
    recent.forEach(all::addAll);
    return all.subList(0, Math.min(maxItems, all.size()));
  }
}
