package org.ragworttide.coordination.queueing;

/**
 * The bounds of a fair queue.
 *
 * <p>Invariant: both are positive. Immutable, safe for use by any thread.
 *
 * @param maxEntries requests that wait at most, over all organisations
 * @param rateWindowMillis over which the rate of dispatch is measured
 */
public record QueueSettings(int maxEntries, long rateWindowMillis) {

  /** The bounds for one entry daemon. */
  public static final QueueSettings DEFAULTS = new QueueSettings(2_000, 5_000);

  /** Checks that both are positive. */
  public QueueSettings {
    if (maxEntries <= 0 || rateWindowMillis <= 0) {
      throw new IllegalArgumentException("bounds must be positive");
    }
  }
}
