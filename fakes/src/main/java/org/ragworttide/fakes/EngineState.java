package org.ragworttide.fakes;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import reactor.netty.Connection;

/**
 * What a stand-in engine counts and how it is told to behave.
 *
 * <p>Invariant: the in-flight count is that of the open requests. Safe for use by any thread.
 */
final class EngineState {
  private static final int MAX_CHATS = 256;
  private static final int NEVER = -1;

  /**
   * How an engine behaves.
   *
   * @param chunks content chunks of an answer that names no limit
   * @param chunkDelayMillis time before each chunk
   * @param missDelayMillis time before the first chunk of a chat that is not in memory
   */
  record Pace(int chunks, long chunkDelayMillis, long missDelayMillis) {}

  final PrefixMemory memory = new PrefixMemory(MAX_CHATS);
  final KeyWatch keys;
  final EngineWeights weights = new EngineWeights();
  private final Set<Connection> open = ConcurrentHashMap.newKeySet();
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
    this.keys = new KeyWatch(keys);
  }

  synchronized EngineStats stats() {
    return new EngineStats(
        arrivals,
        completed,
        cancels,
        inFlight,
        maxInFlight,
        hits,
        keys.seen(),
        crashes,
        incarnation);
  }

  synchronized Pace pace() {
    return pace;
  }

  synchronized void pace(Pace next) {
    pace = next;
  }

  synchronized boolean refusing() {
    return refusing;
  }

  synchronized void refuse(boolean on) {
    refusing = on;
  }

  synchronized void crashNext(int afterChunks) {
    crashAfterChunks = afterChunks;
  }

  synchronized void stallNext(int afterChunks) {
    stallAfterChunks = afterChunks;
  }

  /** Forgets all chats and falls over above the limit until so many requests were answered. */
  synchronized void turnCold(int limit, int requests) {
    memory.clear();
    coldLimit = limit;
    coldRequests = requests;
  }

  synchronized int takeCrash() {
    int after = crashAfterChunks;
    crashAfterChunks = NEVER;
    return after;
  }

  synchronized int takeStall() {
    int after = stallAfterChunks;
    stallAfterChunks = NEVER;
    return after;
  }

  synchronized boolean overloaded() {
    return coldRequests > 0 && inFlight > coldLimit;
  }

  /** Counts an arrival and returns the engine's incarnation. */
  synchronized long arrived(Connection connection, boolean hit) {
    open.add(connection);
    arrivals++;
    inFlight++;
    maxInFlight = Math.max(maxInFlight, inFlight);
    hits += hit ? 1 : 0;
    return incarnation;
  }

  /** Counts the end of a request that arrived under the incarnation. */
  synchronized void ended(Connection connection, long arrivedUnder, boolean whole) {
    open.remove(connection);
    inFlight--;
    if (whole) {
      completed++;
      coldRequests = Math.max(0, coldRequests - 1);
    } else if (arrivedUnder == incarnation) {
      cancels++;
    }
  }

  /** Closes every connection with a request and starts again with empty memory. */
  void crash() {
    synchronized (this) {
      memory.clear();
      weights.clear();
      crashes++;
      incarnation++;
    }
    open.forEach(connection -> connection.channel().close());
  }
}
