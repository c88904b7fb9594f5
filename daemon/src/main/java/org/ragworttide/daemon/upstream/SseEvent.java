package org.ragworttide.daemon.upstream;

/**
 * Event of a server-sent event stream.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param bytes the event as received, including the blank line that ends it
 * @param kind the meaning of the event for the relay
 */
public record SseEvent(byte[] bytes, Kind kind) {

  /** Meaning of an event for the relay. */
  public enum Kind {
    /** Carries data of the answer. */
    CONTENT,
    /** Marks the end of a complete answer. */
    DONE,
    /** Reports that the upstream failed. */
    ERROR,
    /** Carries no data, such as a comment. */
    OTHER
  }
}
