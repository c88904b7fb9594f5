package org.ragworttide.daemon.relay;

/**
 * How far a stream has been handed on, over all attempts of a request.
 *
 * <p>Invariant: the count of chunks only grows. Signals come one at a time.
 */
final class StreamProgress {
  private boolean started;
  private int deliveredChunks;

  /** Notes that the stream's head was handed on. */
  void start() {
    started = true;
  }

  /** Notes that a content chunk was handed on. */
  void chunkDelivered() {
    deliveredChunks++;
  }

  /** Returns whether a stream's head was handed on. */
  boolean started() {
    return started;
  }

  /** Returns the content chunks handed on. */
  int deliveredChunks() {
    return deliveredChunks;
  }
}
