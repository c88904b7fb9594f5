package org.ragworttide.coordination.limits;

/**
 * What all daemons must agree on to keep the limits.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param maxEntryVms most entry VMs that ever run at one time, positive
 * @param reserveShare part of rate and burst that the VMs hold as fixed reserves, below 1
 * @param confirmedShare the same with the owner's confirmation, not below {@code reserveShare}
 * @param retryWindowMillis how long a retry of one request counts once, positive
 */
public record LimitSettings(
    int maxEntryVms, double reserveShare, double confirmedShare, long retryWindowMillis) {
  /** The part of rate and burst that is reserved when nothing else is asked for. */
  public static final double DEFAULT_RESERVE_SHARE = 0.1;

  /** The part that is reserved with the owner's confirmation where VMs lend. */
  public static final double DEFAULT_CONFIRMED_SHARE = 0.9;

  /** The most VMs that may run where VMs lend from their reserves. */
  public static final int MAX_LENDING_VMS = 10;

  /** How long a retry of one request counts once when nothing else is asked for. */
  public static final long DEFAULT_RETRY_WINDOW_MILLIS = 60_000;

  /** Checks the numbers. */
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

  /** Creates settings whose reserves need no confirmation. */
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
