package org.ragworttide.daemon.relay;

/**
 * Progress of a stream towards the caller, over all attempts of a request.
 *
 * <p>Invariant: the number of chunks never decreases. Signals must arrive one at a time.
 */
final class StreamProgress {
  private boolean started;
  private int deliveredChunks;

  /** Records that the head of the stream was forwarded. */
  void recordStart() {
    started = true;
  }

  /** Records that a content chunk was forwarded. */
  void recordChunk() {
    deliveredChunks++;
  }

  /** Returns whether the head of a stream was forwarded. */
  boolean hasStarted() {
    return started;
  }

  /** Returns the number of content chunks forwarded. */
  int deliveredChunks() {
    return deliveredChunks;
  }
}
