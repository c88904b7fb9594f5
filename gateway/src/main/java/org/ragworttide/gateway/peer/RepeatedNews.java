package org.ragworttide.gateway.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * News that go into several statements, since any of them may be lost.
 *
 * <p>Invariant: a statement carries no more than the limit, the newest first. Confined to the event
 * loop.
 */
final class RepeatedNews<T> {
  /** Statements that carry the same news: two losses in a row are rare. */
  private static final int TIMES = 3;

  private final Deque<List<T>> recent = new ArrayDeque<>();
  private final int limit;

  RepeatedNews(int limit) {
    this.limit = limit;
  }

  /** Returns what the next statement carries, given what is new. */
  List<T> next(List<T> fresh) {
    recent.addFirst(fresh);
    if (recent.size() > TIMES) {
      recent.removeLast();
    }
    List<T> all = new ArrayList<>();
    recent.forEach(all::addAll);
    return all.subList(0, Math.min(limit, all.size()));
  }
}
