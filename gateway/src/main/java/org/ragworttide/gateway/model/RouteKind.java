package org.ragworttide.gateway.model;

/** Kind of a route's requests, which determines whether they may be repeated. Immutable. */
public enum RouteKind {
  /** Idempotent requests whose response is not a stream. */
  IDEMPOTENT,
  /**
   * Requests that run at most once each time that a caller sends them and whose response is not a
   * stream.
   */
  AT_MOST_ONCE,
  /** Requests whose response is a stream that a second upstream can continue. */
  RESUMABLE_STREAM,
  /**
   * Requests that run at most once each time that a caller sends them and whose response is a
   * stream.
   */
  STREAM;

  /** Returns whether a request that may have run may be sent again. */
  public boolean isRepeatable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Returns whether responses are streams of events. */
  public boolean isStream() {
    return this == RESUMABLE_STREAM || this == STREAM;
  }
}
