package org.ragworttide.coordination.queueing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The waiting requests of one organisation, by priority and then in order of arrival.
 *
 * <p>Invariant: the size counts the waiting entries only. Confined to the coordination thread.
 */
final class OrganisationQueue<T> {
  private final Map<Priority, Deque<Entry<T>>> entries = new EnumMap<>(Priority.class);
  private int size;
  private double virtualStart;
  private double lastCost = 1;

  OrganisationQueue() {
    for (Priority priority : Priority.values()) {
      entries.put(priority, new ArrayDeque<>());
    }
  }

  int size() {
    return size;
  }

  /** Returns the virtual time at which the organisation's next request starts. */
  double virtualStart() {
    return virtualStart;
  }

  /** Brings the organisation up to the queue's virtual time when it has been idle. */
  void catchUp(double virtualTime) {
    virtualStart = Math.max(virtualStart, virtualTime);
  }

  void charge(double cost) {
    virtualStart += cost;
  }

  /** Returns when a further request of the given cost would start. */
  double startOfNext(double cost, double earliest) {
    return Math.max(virtualStart, earliest) + size * cost;
  }

  /** Returns how many waiting requests start before the given virtual time. */
  long startingBefore(double virtualTime) {
    double before = Math.ceil((virtualTime - virtualStart) / lastCost);
    return (long) Math.max(0, Math.min(size, before));
  }

  void add(Entry<T> entry) {
    entries.get(entry.work().priority()).add(entry);
    lastCost = entry.work().cost();
    size++;
  }

  /** Returns the first entry in order, or null. */
  Entry<T> first() {
    for (Deque<Entry<T>> deque : entries.values()) {
      while (!deque.isEmpty() && !deque.peek().isWaiting()) {
        deque.poll();
      }
      if (!deque.isEmpty()) {
        return deque.peek();
      }
    }
    return null;
  }

  /** Returns the entry that matters least, or null. */
  Entry<T> last() {
    Entry<T> last = null;
    for (Deque<Entry<T>> deque : entries.values()) {
      while (!deque.isEmpty() && !deque.peekLast().isWaiting()) {
        deque.pollLast();
      }
      last = deque.isEmpty() ? last : deque.peekLast();
    }
    return last;
  }

  void leave(Entry<T> entry) {
    if (entry.isWaiting()) {
      entry.leave();
      size--;
    }
  }

  void forEach(Consumer<Entry<T>> action) {
    entries.values().forEach(deque -> deque.stream().filter(Entry::isWaiting).forEach(action));
  }

  /** Drops what has left the queue. */
  void compact() {
    entries.values().forEach(deque -> deque.removeIf(entry -> !entry.isWaiting()));
  }
}
