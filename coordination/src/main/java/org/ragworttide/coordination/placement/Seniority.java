package org.ragworttide.coordination.placement;

import java.util.List;

/**
 * Tells engines that have just joined from those that hold the sessions' prompts.
 *
 * <p>Answers the pattern of a rolling replacement or a grown pool at moderate load: were joining
 * engines to take their share of the sessions at once, prompts that are in memory elsewhere would
 * be read again. They take requests beyond the load bound of the others until they have aged. All
 * VMs decide alike, since they compare what the engines publish.
 *
 * <p>Stateless.
 */
final class Seniority {
  /** Milliseconds after which an engine takes its share: sessions return within a minute. */
  private static final long JOINING_MILLIS = 60_000;

  /** Milliseconds by which an engine must be younger than the median to be joining. */
  private static final long YOUNGER_MILLIS = 10_000;

  private Seniority() {}

  /**
   * Returns the engines that are not joining.
   *
   * @param engines engines, at least one
   * @param wallMillis Unix time in milliseconds, right to some seconds
   */
  static List<UpstreamLoad> established(List<UpstreamLoad> engines, long wallMillis) {
    long[] births = engines.stream().mapToLong(UpstreamLoad::bornMillis).sorted().toArray();
    long median = births[(births.length - 1) / 2];
    return engines.stream().filter(it -> !isJoining(it.bornMillis(), median, wallMillis)).toList();
  }

  private static boolean isJoining(long bornMillis, long medianMillis, long wallMillis) {
    return bornMillis > medianMillis + YOUNGER_MILLIS && wallMillis - bornMillis < JOINING_MILLIS;
  }
}
