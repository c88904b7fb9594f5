package org.ragworttide.coordination.orders;

/**
 * The durations of orders to engines.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param tickMillis how often engines are compared with what is wanted
 * @param firstBackoffMillis least time between two orders of one daemon to one engine
 * @param maxBackoffMillis most time between two orders while an engine does not follow
 * @param answerMillis when an order without an answer is over
 * @param staleMillis age at which a report says nothing any more
 */
public record OrderSettings(
    long tickMillis,
    long firstBackoffMillis,
    long maxBackoffMillis,
    long answerMillis,
    long staleMillis) {
  /** The settings used when none are given. */
  public static final OrderSettings DEFAULTS = new OrderSettings(250, 1_000, 30_000, 5_000, 10_000);

  /** Checks the ranges. */
  public OrderSettings {
    if (tickMillis <= 0 || firstBackoffMillis <= 0 || answerMillis <= 0 || staleMillis <= 0) {
      throw new IllegalArgumentException("durations must be positive");
    }
    if (maxBackoffMillis < firstBackoffMillis) {
      throw new IllegalArgumentException("maxBackoffMillis is below firstBackoffMillis");
    }
  }
}
