package org.ragworttide.gateway.model;

/**
 * Limits on the requests and connections of callers.
 *
 * <p>Invariant: all limits are positive. Immutable, safe for use by any thread.
 *
 * @param headerBytes the largest size of the request line and headers
 * @param bodyBytes the largest size of the body
 * @param headerTimeoutMillis the longest time in which the headers must be received
 * @param idleTimeoutMillis the longest time for which a connection may be idle
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /**
   * Limits that apply before the first configuration and where a configuration sets none: 16 KiB, 4
   * MiB, 3 s and 15 s.
   */
  public static final CallerLimits DEFAULTS =
      new CallerLimits(16_384, 4 * 1_024 * 1_024, 3_000, 15_000);

  /** Checks the ranges. */
  public CallerLimits {
    if (headerBytes <= 0 || bodyBytes <= 0 || headerTimeoutMillis <= 0 || idleTimeoutMillis <= 0) {
      throw new IllegalArgumentException("limits must be positive");
    }
  }
}
