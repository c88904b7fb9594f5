package org.ragworttide.coordination.retry;

/**
 * Settings of circuit breakers.
 *
 * <p>Invariant: all values are positive and the longest pause is not shorter than the first.
 * Immutable, safe for use by any thread.
 *
 * @param tripFailures the number of consecutive failures that open a breaker
 * @param closeSuccesses the number of consecutive successful probes that close it again
 * @param firstPauseMillis how long a breaker stays open before its first probe
 * @param longestPauseMillis the maximum time that it stays open between probes
 * @param probesPerSecond the maximum number of probes that a daemon starts per second, over all
 *     upstreams
 */
public record BreakerSettings(
    int tripFailures,
    int closeSuccesses,
    long firstPauseMillis,
    long longestPauseMillis,
    int probesPerSecond) {

  /** Settings of a daemon. */
  public static final BreakerSettings DEFAULTS = new BreakerSettings(1, 3, 1_000, 30_000, 2);

  /** Checks the ranges. */
  public BreakerSettings {
    if (tripFailures <= 0 || closeSuccesses <= 0 || probesPerSecond <= 0) {
      throw new IllegalArgumentException("failures, successes and probes must be positive");
    }
    if (firstPauseMillis <= 0 || longestPauseMillis < firstPauseMillis) {
      throw new IllegalArgumentException("pauses must be positive, longest not below first");
    }
  }
}
