package org.ragworttide.gateway.model;

/** What a route's requests are and which of them may be repeated; immutable. */
public enum RouteKind {
  /** Idempotent requests with one answer. */
  IDEMPOTENT,
  /** Requests that run at most once for each attempt of a caller. */
  AT_MOST_ONCE,
  /** Streamed answers that a second upstream can continue. */
  RESUMABLE_STREAM,
  /** Streamed answers that run at most once for each attempt of a caller. */
  STREAM;

  /** Tells whether a request that may have run may be sent again. */
  public boolean isRepeatable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Tells whether answers are series of events. */
  public boolean isStream() {
    return this == RESUMABLE_STREAM || this == STREAM;
  }
}
