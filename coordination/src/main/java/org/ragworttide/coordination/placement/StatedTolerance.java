package org.ragworttide.coordination.placement;

import java.util.OptionalInt;

/**
 * What a service's upstreams have stated about the requests that each may reject per second, from
 * all VMs together, before it fails.
 *
 * <p>Invariant: the tolerance is between 0 and {@link #MAX_REJECTIONS}. Immutable, safe for use by
 * any thread.
 *
 * @param service the key of the service in the statements of VMs
 * @param rejectionsPerSecond the tolerance, empty if the upstreams are brittle no more
 * @param statedAtMillis when the answer that stated it was received, relative to a statement or on
 *     the clock of a VM
 */
public record StatedTolerance(int service, OptionalInt rejectionsPerSecond, long statedAtMillis) {
  /** Greatest tolerance that is told from others: more than an upstream rejects in a second. */
  public static final int MAX_REJECTIONS = 30_000;

  /** Checks and bounds the tolerance. */
  public StatedTolerance {
    if (rejectionsPerSecond.isPresent()) {
      if (rejectionsPerSecond.getAsInt() < 0) {
        throw new IllegalArgumentException("a tolerance must not be negative");
      }
      rejectionsPerSecond =
          OptionalInt.of(Math.min(MAX_REJECTIONS, rejectionsPerSecond.getAsInt()));
    }
  }

  /** Returns the tolerance with its time moved by the given milliseconds. */
  public StatedTolerance moveTime(long millis) {
    return new StatedTolerance(service, rejectionsPerSecond, statedAtMillis + millis);
  }
}
