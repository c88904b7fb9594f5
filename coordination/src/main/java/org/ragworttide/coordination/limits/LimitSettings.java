package org.ragworttide.coordination.limits;

/**
 * Settings of the limits, which must be the same on all daemons of a fleet.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param maxEntryVms largest number of entry VMs that ever run at the same time, positive
 * @param reserveShare share of rate and burst that all VMs together hold as reserves without a
 *     confirmation, below 1
 * @param confirmedShare share of rate and burst that all VMs together hold as reserves with the
 *     owner's confirmation, not below {@code reserveShare}
 * @param retryWindowMillis how long a counted request is remembered, so that its retries are not
 *     counted again, positive
 */
public record LimitSettings(
    int maxEntryVms, double reserveShare, double confirmedShare, long retryWindowMillis) {
  /** The default share of rate and burst that is reserved without a confirmation. */
  public static final double DEFAULT_RESERVE_SHARE = 0.1;

  /**
   * The default share of rate and burst that is reserved with the owner's confirmation, in fleets
   * whose VMs lend from their reserves.
   */
  public static final double DEFAULT_CONFIRMED_SHARE = 0.9;

  /** The largest {@code maxEntryVms} of a fleet whose VMs lend from their reserves. */
  public static final int MAX_LENDING_VMS = 10;

  /** The default time during which retries of a request are not counted again. */
  public static final long DEFAULT_RETRY_WINDOW_MILLIS = 60_000;

  /** Checks the ranges of the values. */
  public LimitSettings {
    if (maxEntryVms <= 0 || retryWindowMillis <= 0) {
      throw new IllegalArgumentException("maxEntryVms and retryWindowMillis must be positive");
    }
    if (!(reserveShare >= 0 && reserveShare < 1)) {
      throw new IllegalArgumentException("reserveShare must be in [0, 1): " + reserveShare);
    }
    if (!(confirmedShare >= reserveShare && confirmedShare < 1)) {
      throw new IllegalArgumentException("confirmedShare out of range: " + confirmedShare);
    }
  }

  /** Creates settings in which reserves need no confirmation. */
  public LimitSettings(int maxEntryVms, double reserveShare, long retryWindowMillis) {
    this(maxEntryVms, reserveShare, reserveShare, retryWindowMillis);
  }

  /** Returns whether VMs lend from their reserves. */
  boolean isLending() {
    return maxEntryVms <= MAX_LENDING_VMS;
  }

  /** Returns the default settings for a fleet of the given size. */
  public static LimitSettings of(int maxEntryVms) {
    double confirmed =
        maxEntryVms <= MAX_LENDING_VMS ? DEFAULT_CONFIRMED_SHARE : DEFAULT_RESERVE_SHARE;
    return new LimitSettings(
        maxEntryVms, DEFAULT_RESERVE_SHARE, confirmed, DEFAULT_RETRY_WINDOW_MILLIS);
  }
}
