package org.ragworttide.coordination.admission;

/**
 * The settings of admission to cold upstreams, the same on every daemon.
 *
 * <p>Invariant: all values are positive. Immutable, safe for use by any thread.
 *
 * @param permitMillis how long a permit may wait for its request
 * @param maxRunMillis how long a request counts whose end is never told
 * @param askTimeoutMillis when an unanswered question is asked again
 * @param asksPerSecond how many questions a daemon sends a second at most
 * @param slowLimit slow answers within the window that show a cold upstream
 * @param slowWindowMillis the window for slow answers
 * @param slowFactor multiple of the usual slowest first token that counts as slow
 * @param warmMillis how long a daemon takes an upstream without load reports for warm after asking
 * @param clockRateTolerance greatest relative difference of the rates of two VMs' clocks
 */
public record AdmissionSettings(
    long permitMillis,
    long maxRunMillis,
    long askTimeoutMillis,
    int asksPerSecond,
    int slowLimit,
    long slowWindowMillis,
    double slowFactor,
    long warmMillis,
    double clockRateTolerance) {

  /** The settings for answers that take up to two minutes. */
  public static final AdmissionSettings DEFAULTS =
      new AdmissionSettings(3_000, 120_000, 500, 10, 3, 10_000, 2, 60_000, 0.01);

  /** Checks that all values are positive. */
  public AdmissionSettings {
    if (permitMillis <= 0 || maxRunMillis <= 0 || askTimeoutMillis <= 0 || warmMillis <= 0) {
      throw new IllegalArgumentException("times must be positive");
    }
    if (asksPerSecond <= 0
        || slowLimit <= 0
        || slowWindowMillis <= 0
        || slowFactor <= 0
        || clockRateTolerance <= 0) {
      throw new IllegalArgumentException("limits must be positive");
    }
  }

  /** Returns the settings with another longest run. */
  public AdmissionSettings withMaxRunMillis(long millis) {
    return new AdmissionSettings(
        permitMillis,
        millis,
        askTimeoutMillis,
        asksPerSecond,
        slowLimit,
        slowWindowMillis,
        slowFactor,
        warmMillis,
        clockRateTolerance);
  }
}
