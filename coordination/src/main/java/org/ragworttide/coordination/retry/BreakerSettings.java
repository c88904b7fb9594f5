package org.ragworttide.coordination.retry;

/**
 * The settings of circuit breakers.
 *
 * <p>Invariant: all values are positive and the longest pause is no shorter than the first.
 * Immutable, safe for use by any thread.
 *
 * @param tripFailures failures in a row that open a breaker
 * @param closeSuccesses probes in a row that close it again
 * @param firstPauseMillis how long a breaker stays open at first
 * @param longestPauseMillis how long it stays open at most
 * @param probesPerSecond probes a daemon starts a second at most, over all upstreams
 */
public record BreakerSettings(
    int tripFailures,
    int closeSuccesses,
    long firstPauseMillis,
    long longestPauseMillis,
    int probesPerSecond) {

  /** The settings of an entry daemon. */
  public static final BreakerSettings DEFAULTS = new BreakerSettings(1, 3, 1_000, 30_000, 2);

  /** Checks the ranges. */
  public BreakerSettings {
    if (tripFailures <= 0 || closeSuccesses <= 0 || probesPerSecond <= 0) {
      throw new IllegalArgumentException("counts must be positive");
    }
    if (firstPauseMillis <= 0 || longestPauseMillis < firstPauseMillis) {
      throw new IllegalArgumentException("pauses must be positive and ordered");
    }
  }
}
