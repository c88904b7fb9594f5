package org.ragworttide.coordination.admission;

/**
 * Settings of the admission to cold upstreams, the same on every daemon.
 *
 * <p>Invariant: all values are positive. Immutable, safe for use by any thread.
 *
 * @param permitMillis how long a permit may stay unused before it expires
 * @param maxRunMillis how long a request counts as running if its end is never reported
 * @param askTimeoutMillis time after which an unanswered permit request is repeated
 * @param asksPerSecond maximum number of permit requests that a daemon sends per second
 * @param slowLimit number of slow answers within the window at which an upstream counts as cold
 * @param slowWindowMillis length of the window in which slow answers are counted
 * @param slowFactor multiple of the 99th percentile of the time to the first token above which an
 *     answer is slow
 * @param warmMillis how long a daemon treats an upstream without load reports as warm after it
 *     asked the owner
 * @param clockRateTolerance maximum relative difference between the rates of two VMs' clocks
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

  /** Settings for answers that take up to two minutes. */
  public static final AdmissionSettings DEFAULTS =
      new AdmissionSettings(3_000, 120_000, 500, 10, 3, 10_000, 2, 60_000, 0.01);

  /** Checks that all values are positive. */
  public AdmissionSettings {
    if (permitMillis <= 0 || maxRunMillis <= 0 || askTimeoutMillis <= 0 || warmMillis <= 0) {
      throw new IllegalArgumentException("permit, run, ask and warm times must be positive");
    }
    if (asksPerSecond <= 0
        || slowLimit <= 0
        || slowWindowMillis <= 0
        || slowFactor <= 0
        || clockRateTolerance <= 0) {
      throw new IllegalArgumentException("limits, factor and tolerance must be positive");
    }
  }

  /** Returns a copy of these settings with the given maximum run time. */
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
