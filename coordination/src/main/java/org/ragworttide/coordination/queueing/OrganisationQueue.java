package org.ragworttide.coordination.queueing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Waiting requests of one organisation, ordered by priority and then by arrival.
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

  /** Advances the virtual start of an organisation that was idle to the given virtual time. */
  void advanceVirtualStart(double virtualTime) {
    virtualStart = Math.max(virtualStart, virtualTime);
  }

  void charge(double cost) {
    virtualStart += cost;
  }

  /** Returns the virtual time at which a further request of the given cost would start. */
  double startOfNext(double cost, double earliest) {
    return Math.max(virtualStart, earliest) + size * cost;
  }

  /** Returns how many waiting requests start before the given virtual time. */
  long countStartingBefore(double virtualTime) {
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

  /** Returns the newest entry of the lowest priority, or null. */
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

  void remove(Entry<T> entry) {
    if (entry.isWaiting()) {
      entry.stopWaiting();
      size--;
    }
  }

  void forEach(Consumer<Entry<T>> action) {
    entries.values().forEach(deque -> deque.stream().filter(Entry::isWaiting).forEach(action));
  }

  /** Removes the entries that no longer wait. */
  void compact() {
    entries.values().forEach(deque -> deque.removeIf(entry -> !entry.isWaiting()));
  }
}
