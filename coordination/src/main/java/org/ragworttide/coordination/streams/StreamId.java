package org.ragworttide.coordination.streams;

import org.ragworttide.coordination.hash.Rendezvous;

/**
 * Identifies a stream: the hash of the id of the caller's request that received its first event.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param value the hash
 */
public record StreamId(long value) {

  /** Returns the stream that the caller's request with the given id begins. */
  public static StreamId of(String requestId) {
    return new StreamId(Rendezvous.hash(requestId));
  }
}
