package org.ragworttide.coordination.queueing;

/**
 * The bounds of a fair queue.
 *
 * <p>Invariant: the bounds are positive, the credit is not negative. Immutable, safe for use by any
 * thread.
 *
 * @param maxEntries requests that wait at most, over all organisations
 * @param rateWindowMillis over which the rate of dispatch is measured
 * @param burstRequests requests that an organisation may send in a burst after it was idle
 */
public record QueueSettings(int maxEntries, long rateWindowMillis, int burstRequests) {

  /** The bounds for one entry daemon. */
  public static final QueueSettings DEFAULTS = new QueueSettings(2_000, 5_000, 4);

  /** Checks the ranges. */
  public QueueSettings {
    if (maxEntries <= 0 || rateWindowMillis <= 0 || burstRequests < 0) {
      throw new IllegalArgumentException("bounds out of range");
    }
  }
}
