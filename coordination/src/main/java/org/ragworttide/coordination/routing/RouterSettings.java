package org.ragworttide.coordination.routing;

/**
 * Settings of a router, the same on every daemon.
 *
 * <p>Invariant: 1 &lt;= softMultiple &lt; loadMultiple. Immutable, safe for use by any thread.
 *
 * @param loadMultiple multiple of the mean load above which an engine receives no new work
 * @param softMultiple multiple of the mean load above which an engine begins to shed chats
 * @param walkLength number of candidates in a chat's order that are considered before the least
 *     loaded engine
 * @param reportStaleMillis age at which a load report is no longer used
 * @param futureToleranceMillis how far in the future the measuring time of a report may be
 * @param rampMillis maximum time in which a returning engine ramps up to its whole share
 * @param maxPlausibleLoad greatest count that a report may hold
 * @param hintEntries maximum number of chats whose last upstream is kept as a hint
 * @param retryAfterMillis delay that a refusal states before the next attempt
 */
public record RouterSettings(
    double loadMultiple,
    double softMultiple,
    int walkLength,
    long reportStaleMillis,
    long futureToleranceMillis,
    long rampMillis,
    long maxPlausibleLoad,
    int hintEntries,
    long retryAfterMillis) {

  /** Default settings, for engines that report about once a second. */
  public static final RouterSettings DEFAULTS =
      new RouterSettings(1.5, 1.35, 8, 10_000, 1_000, 60_000, 100_000, 1 << 16, 250);

  /** Checks that the settings are consistent. */
  public RouterSettings {
    if (!(softMultiple >= 1 && softMultiple < loadMultiple)) {
      throw new IllegalArgumentException("1 <= softMultiple < loadMultiple is required");
    }
    if (walkLength <= 0 || reportStaleMillis <= 0 || rampMillis <= 0 || retryAfterMillis <= 0) {
      throw new IllegalArgumentException(
          "walkLength, reportStaleMillis, rampMillis and retryAfterMillis must be positive");
    }
    if (futureToleranceMillis < 0 || maxPlausibleLoad <= 0 || hintEntries < 0) {
      throw new IllegalArgumentException(
          "maxPlausibleLoad must be positive, futureToleranceMillis and hintEntries not negative");
    }
  }

  /** Returns the settings with other multiples of the mean load. */
  public RouterSettings withMultiples(double soft, double load) {
    return new RouterSettings(
        load,
        soft,
        walkLength,
        reportStaleMillis,
        futureToleranceMillis,
        rampMillis,
        maxPlausibleLoad,
        hintEntries,
        retryAfterMillis);
  }

  /** Returns the settings with another number of hints. */
  public RouterSettings withHintEntries(int entries) {
    return new RouterSettings(
        loadMultiple,
        softMultiple,
        walkLength,
        reportStaleMillis,
        futureToleranceMillis,
        rampMillis,
        maxPlausibleLoad,
        entries,
        retryAfterMillis);
  }
}
