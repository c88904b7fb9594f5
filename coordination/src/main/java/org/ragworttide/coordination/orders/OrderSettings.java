package org.ragworttide.coordination.orders;

/**
 * Durations that govern orders to engines.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param tickMillis period at which engines are compared with their wanted states
 * @param firstBackoffMillis minimum time between two orders of one daemon to one engine
 * @param maxBackoffMillis maximum backoff between two orders while an engine does not comply
 * @param answerMillis timeout for the answer to an order
 * @param staleMillis age at which a report is no longer used
 */
public record OrderSettings(
    long tickMillis,
    long firstBackoffMillis,
    long maxBackoffMillis,
    long answerMillis,
    long staleMillis) {
  /** The default settings. */
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
