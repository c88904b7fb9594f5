package org.ragworttide.coordination.queueing;

/**
 * Settings of a fair queue.
 *
 * <p>Invariant: the maximum and the window are positive; the burst is not negative. Immutable, safe
 * for use by any thread.
 *
 * @param maxEntries maximum number of waiting requests, over all organisations
 * @param rateWindowMillis time window over which the dispatch rate is measured
 * @param burstRequests number of requests that an organisation may send in a burst after it was
 *     idle
 */
public record QueueSettings(int maxEntries, long rateWindowMillis, int burstRequests) {

  /** Default settings, for one daemon. */
  public static final QueueSettings DEFAULTS = new QueueSettings(2_000, 5_000, 4);

  /** Checks the ranges. */
  public QueueSettings {
    if (maxEntries <= 0 || rateWindowMillis <= 0 || burstRequests < 0) {
      throw new IllegalArgumentException(
          "maxEntries and rateWindowMillis must be positive, burstRequests not negative");
    }
  }
}
