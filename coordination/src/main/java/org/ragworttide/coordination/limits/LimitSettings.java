package org.ragworttide.coordination.limits;

/**
 * What all daemons must agree on to keep the limits.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param maxEntryVms most entry VMs that ever run at one time, positive
 * @param reserveShare part of rate and burst that the VMs hold as fixed reserves, below 1
 * @param retryWindowMillis how long a retry of one request counts once, positive
 */
public record LimitSettings(int maxEntryVms, double reserveShare, long retryWindowMillis) {
  /** The part of rate and burst that is reserved when nothing else is asked for. */
  public static final double DEFAULT_RESERVE_SHARE = 0.1;

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
  }

  /** Returns the default settings for a fleet of the given size. */
  public static LimitSettings of(int maxEntryVms) {
    return new LimitSettings(maxEntryVms, DEFAULT_RESERVE_SHARE, DEFAULT_RETRY_WINDOW_MILLIS);
  }
}
