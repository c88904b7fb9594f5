package org.ragworttide.coordination.placement;

import java.util.OptionalDouble;

/**
 * What an upstream has named as the requests per second that it accepts from all VMs together.
 *
 * <p>Invariant: the limit is a multiple of a thousandth between 0 and {@link #MAX_PER_SECOND}.
 * Immutable, safe for use by any thread.
 *
 * @param perSecond the limit, empty if the upstream names none any more
 * @param namedAtMillis when the answer that named it was received, on the clock of the VM that
 *     keeps it
 */
public record RequestLimit(OptionalDouble perSecond, long namedAtMillis) {
  /** Greatest limit that is told from others: more than all VMs send to one upstream. */
  public static final double MAX_PER_SECOND = 1_000_000;

  private static final double UNITS_PER_REQUEST = 1_000;

  /** Checks and bounds the limit, and rounds it as statements do. */
  public RequestLimit {
    if (perSecond.isPresent()) {
      if (!(perSecond.getAsDouble() >= 0)) {
        throw new IllegalArgumentException("a limit must not be negative");
      }
      double bounded = Math.min(MAX_PER_SECOND, perSecond.getAsDouble());
      perSecond = OptionalDouble.of(Math.round(bounded * UNITS_PER_REQUEST) / UNITS_PER_REQUEST);
    }
  }
}
