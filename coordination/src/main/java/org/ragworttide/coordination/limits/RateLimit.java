package org.ragworttide.coordination.limits;

/**
 * Rate and burst of an organisation, which apply to the whole fleet.
 *
 * <p>Invariant: both are finite and not negative. Immutable, safe for use by any thread.
 *
 * @param ratePerSecond requests per second
 * @param burst largest number of requests at once
 */
public record RateLimit(double ratePerSecond, double burst) {
  static final RateLimit ZERO = new RateLimit(0, 0);
  static final long NANOS_PER_TOKEN = 1_000_000_000L;
  private static final double MAX_TOKENS = 1_000_000_000.0;

  /** Checks the ranges of the values. */
  public RateLimit {
    requireInRange(ratePerSecond, "ratePerSecond");
    requireInRange(burst, "burst");
  }

  /** Returns the refill in billionths of a token per millisecond, rounded down. */
  long rateNanosPerMilli() {
    return (long) (ratePerSecond * (NANOS_PER_TOKEN / 1000));
  }

  /** Returns the burst in billionths of a token, rounded down. */
  long burstNanos() {
    return (long) (burst * NANOS_PER_TOKEN);
  }

  private static void requireInRange(double value, String name) {
    if (!(value >= 0 && value <= MAX_TOKENS)) {
      throw new IllegalArgumentException(name + " out of range: " + value);
    }
  }
}
