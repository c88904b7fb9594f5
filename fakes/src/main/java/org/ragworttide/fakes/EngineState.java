package org.ragworttide.fakes;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import reactor.netty.Connection;

/**
 * Counters and configured behaviour of a fake engine.
 *
 * <p>Invariant: the in-flight count equals the number of open requests. Safe for use by any thread.
 */
final class EngineState {
  private static final int MAX_CHATS = 256;
  private static final int NEVER = -1;

  /**
   * Length and timing of answers.
   *
   * @param chunks content chunks of an answer that has no limit in its request
   * @param chunkDelayMillis time before each chunk
   * @param missDelayMillis time before the first chunk of a chat that is not in the prefix cache
   */
  record Pace(int chunks, long chunkDelayMillis, long missDelayMillis) {}

  final PrefixCache prefixes = new PrefixCache(MAX_CHATS);
  final CallerKeyCounter keys;
  final EngineWeights weights = new EngineWeights();
  private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();
  private Pace pace = new Pace(8, 5, 20);
  private int crashAfterChunks = NEVER;
  private int stallAfterChunks = NEVER;
  private int coldLimit = Integer.MAX_VALUE;
  private int coldRequests;
  private boolean refusing;
  private int arrivals;
  private int completed;
  private int cancels;
  private int inFlight;
  private int maxInFlight;
  private int hits;
  private int crashes;
  private long incarnation = 1;

  EngineState(Set<String> keys) {
    this.keys = new CallerKeyCounter(keys);
  }

  synchronized EngineStats stats() {
    return new EngineStats(
        arrivals,
        completed,
        cancels,
        inFlight,
        maxInFlight,
        hits,
        keys.count(),
        crashes,
        incarnation);
  }

  synchronized Pace pace() {
    return pace;
  }

  synchronized void pace(Pace next) {
    pace = next;
  }

  synchronized boolean isRefusing() {
    return refusing;
  }

  synchronized void setRefusing(boolean on) {
    refusing = on;
  }

  synchronized void crashNext(int afterChunks) {
    crashAfterChunks = afterChunks;
  }

  synchronized void stallNext(int afterChunks) {
    stallAfterChunks = afterChunks;
  }

  /**
   * Clears the prefix cache; until {@code requests} more are answered, the engine crashes if more
   * than {@code limit} are in flight.
   */
  synchronized void turnCold(int limit, int requests) {
    prefixes.clear();
    coldLimit = limit;
    coldRequests = requests;
  }

  synchronized int consumeCrash() {
    int after = crashAfterChunks;
    crashAfterChunks = NEVER;
    return after;
  }

  synchronized int consumeStall() {
    int after = stallAfterChunks;
    stallAfterChunks = NEVER;
    return after;
  }

  synchronized boolean isOverloaded() {
    return coldRequests > 0 && inFlight > coldLimit;
  }

  /** Records an arrival and returns the engine's incarnation. */
  synchronized long recordArrival(Connection connection, boolean hit) {
    openConnections.add(connection);
    arrivals++;
    inFlight++;
    maxInFlight = Math.max(maxInFlight, inFlight);
    hits += hit ? 1 : 0;
    return incarnation;
  }

  /** Records the end of a request that arrived in the given incarnation. */
  synchronized void recordEnd(
      Connection connection, long arrivalIncarnation, boolean answeredWhole) {
    openConnections.remove(connection);
    inFlight--;
    if (answeredWhole) {
      completed++;
      coldRequests = Math.max(0, coldRequests - 1);
    } else if (arrivalIncarnation == incarnation) {
      cancels++;
    }
  }

  /**
   * Closes every connection with a request and restarts with an empty prefix cache and no weights.
   */
  void crash() {
    synchronized (this) {
      prefixes.clear();
      weights.clear();
      crashes++;
      incarnation++;
    }
    openConnections.forEach(connection -> connection.channel().close());
  }
}
