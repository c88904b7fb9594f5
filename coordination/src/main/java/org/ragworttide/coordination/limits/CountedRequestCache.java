package org.ragworttide.coordination.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Cache of counted requests, so that their retries are not counted again.
 *
 * <p>Invariants: a request is removed after the window; the cache holds at most {@link
 * #MAX_REQUESTS}; each request allows at most {@link #MAX_RETRIES} retries. Not safe for use by
 * several threads.
 */
final class CountedRequestCache {
  static final int MAX_REQUESTS = 100_000;
  static final int MAX_RETRIES = 3;

  private final long windowMillis;
  private final Map<Long, Integer> remainingRetries = new HashMap<>();
  private final Deque<Counted> byExpiry = new ArrayDeque<>();

  CountedRequestCache(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Adds a request that this VM has counted. */
  void add(long request, long nowMillis) {
    put(request, MAX_RETRIES, nowMillis);
  }

  /** Adds a request that another VM has counted; it allows one retry on this VM. */
  void addFromPeer(long request, long nowMillis) {
    put(request, 1, nowMillis);
  }

  private void put(long request, int retries, long nowMillis) {
    removeExpired(nowMillis);
    if (remainingRetries.putIfAbsent(request, retries) == null) {
      byExpiry.addLast(new Counted(request, nowMillis + windowMillis));
    }
  }

  /**
   * Returns whether the request was counted before and had a retry remaining, and consumes that
   * retry.
   */
  boolean tryUseRetry(long request, long nowMillis) {
    removeExpired(nowMillis);
    Integer remaining = remainingRetries.get(request);
    if (remaining == null || remaining == 0) {
      return false;
    }
    remainingRetries.put(request, remaining - 1);
    return true;
  }

  private void removeExpired(long nowMillis) {
    while (!byExpiry.isEmpty()
        && (byExpiry.peekFirst().expiresAtMillis <= nowMillis || byExpiry.size() > MAX_REQUESTS)) {
      remainingRetries.remove(byExpiry.removeFirst().request);
    }
  }

  private record Counted(long request, long expiresAtMillis) {}
}
