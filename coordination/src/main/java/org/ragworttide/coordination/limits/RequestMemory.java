package org.ragworttide.coordination.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers counted requests for a while, so that their retries are not counted again.
 *
 * <p>Invariants: a request is forgotten after the window; at most {@link #MAX_REQUESTS} are
 * remembered; each allows at most {@link #MAX_RETRIES} retries. Not safe for use by several
 * threads.
 */
final class RequestMemory {
  static final int MAX_REQUESTS = 100_000;
  static final int MAX_RETRIES = 3;

  private final long windowMillis;
  private final Map<Long, Integer> retriesLeft = new HashMap<>();
  private final Deque<Counted> order = new ArrayDeque<>();

  RequestMemory(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Remembers a request that has been counted here. */
  void remember(long request, long nowMillis) {
    keep(request, MAX_RETRIES, nowMillis);
  }

  /** Remembers a request that another VM has counted; it allows one retry here. */
  void rememberElsewhere(long request, long nowMillis) {
    keep(request, 1, nowMillis);
  }

  private void keep(long request, int retries, long nowMillis) {
    forgetOld(nowMillis);
    if (retriesLeft.putIfAbsent(request, retries) == null) {
      order.addLast(new Counted(request, nowMillis + windowMillis));
    }
  }

  /** Returns whether the request was counted before, and uses up one of its retries. */
  boolean useRetry(long request, long nowMillis) {
    forgetOld(nowMillis);
    Integer left = retriesLeft.get(request);
    if (left == null || left == 0) {
      return false;
    }
    retriesLeft.put(request, left - 1);
    return true;
  }

  private void forgetOld(long nowMillis) {
    while (!order.isEmpty()
        && (order.peekFirst().untilMillis <= nowMillis || order.size() > MAX_REQUESTS)) {
      retriesLeft.remove(order.removeFirst().request);
    }
  }

  private record Counted(long request, long untilMillis) {}
}
