package org.ragworttide.coordination.group;

/**
 * The assumed bound on the difference of clock rates between VMs; stateless.
 *
 * <p>Invariant: a stretched time on any VM is no shorter than the time itself on any other.
 */
public final class ClockBound {
  /** The part of a time by which two clocks may differ over it, as one in so many. */
  public static final long RATE_DIFFERENCE_ONE_IN = 50;

  private ClockBound() {}

  /** Returns the time that is safely as long as the given one on another VM's clock. */
  public static long stretchMillis(long millis) {
    return millis + millis / RATE_DIFFERENCE_ONE_IN + 1;
  }
}
