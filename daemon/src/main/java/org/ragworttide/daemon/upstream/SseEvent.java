package org.ragworttide.daemon.upstream;

/**
 * One event of a server-sent event stream.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param bytes the event as received, with its closing blank line
 * @param kind what it means to the relay
 */
public record SseEvent(byte[] bytes, Kind kind) {

  /** What an event means to the relay. */
  public enum Kind {
    /** Carries data of the answer. */
    CONTENT,
    /** Says that the answer is whole. */
    DONE,
    /** Says that the upstream failed. */
    ERROR,
    /** Carries no data, such as a comment. */
    OTHER
  }
}
