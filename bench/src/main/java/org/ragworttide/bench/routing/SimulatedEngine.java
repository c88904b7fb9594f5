package org.ragworttide.bench.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Simulated engine with a prefix cache of limited size and a count of requests in flight.
 *
 * <p>Invariant: the cache holds the most recently used prefixes. Confined to one thread.
 */
final class SimulatedEngine {
  private static final long HIT_MILLIS = 150;
  private static final long MISS_MILLIS = 700;
  private static final double CAPACITY_OF_MEAN = 1.8;

  private final double capacity;
  private final int cacheEntries;
  private final Map<Integer, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private int inFlight;
  private long incarnation = 1;
  private long cacheSequence;

  SimulatedEngine(double meanLoad, int cacheEntries) {
    this.capacity = CAPACITY_OF_MEAN * meanLoad;
    this.cacheEntries = cacheEntries;
  }

  int inFlight() {
    return inFlight;
  }

  long incarnation() {
    return incarnation;
  }

  boolean has(int chat) {
    return cache.containsKey(chat);
  }

  /** Starts a request and returns the time to its first token. */
  long start(int chat) {
    inFlight++;
    double pressure = Math.max(1, inFlight / capacity);
    long base = cache.get(chat) != null ? HIT_MILLIS : MISS_MILLIS;
    return (long) (base * pressure * pressure);
  }

  /** Ends a request and caches its prefix. */
  void end(int chat) {
    inFlight--;
    cache.put(chat, true);
    if (cache.size() > cacheEntries) {
      cache.remove(cache.keySet().iterator().next());
    }
  }

  long nextCacheSequence() {
    return ++cacheSequence;
  }

  /** Simulates a restart of the process, which starts with an empty cache. */
  void restart() {
    incarnation++;
    cache.clear();
  }
}
