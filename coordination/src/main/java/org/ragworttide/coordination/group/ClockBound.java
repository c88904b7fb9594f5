package org.ragworttide.coordination.group;

/**
 * The assumed bound on the difference of clock rates between VMs; stateless.
 *
 * <p>Invariant: a stretched duration on any VM's clock is no shorter than the original duration on
 * any other VM's clock.
 */
public final class ClockBound {
  /** Two clocks differ over a duration by at most one part in this number. */
  public static final long RATE_DIFFERENCE_ONE_IN = 50;

  private ClockBound() {}

  /** Returns a duration that is at least as long as the given one on any other VM's clock. */
  public static long stretchMillis(long millis) {
    return millis + millis / RATE_DIFFERENCE_ONE_IN + 1;
  }
}
