package org.ragworttide.gateway.model;

/**
 * What a caller may send and how long it may take.
 *
 * <p>Invariant: all are positive. Immutable, safe for use by any thread.
 *
 * @param headerBytes the longest head of a request
 * @param bodyBytes the longest body
 * @param headerTimeoutMillis how long a head may take to arrive
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** In force before the first configuration: 16 KiB, 4 MiB, 3 s and 15 s. */
  public static final CallerLimits DEFAULTS =
      new CallerLimits(16_384, 4 * 1_024 * 1_024, 3_000, 15_000);

  /** Checks the ranges. */
  public CallerLimits {
    if (headerBytes <= 0 || bodyBytes <= 0 || headerTimeoutMillis <= 0 || idleTimeoutMillis <= 0) {
      throw new IllegalArgumentException("limits must be positive");
    }
  }
}
