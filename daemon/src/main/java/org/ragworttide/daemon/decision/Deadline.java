package org.ragworttide.daemon.decision;

import java.time.Duration;

/**
 * Time after which a caller no longer waits for its answer.
 *
 * <p>Invariant: deadlines are comparable only within one process. Immutable, safe for use by any
 * thread.
 *
 * @param nanoTime the deadline on the clock of {@link System#nanoTime()}
 */
public record Deadline(long nanoTime) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the deadline that passes after the given time. */
  public static Deadline afterMillis(long millis) {
    return new Deadline(System.nanoTime() + millis * NANOS_PER_MILLI);
  }

  /** Returns the remaining time in milliseconds, zero once the deadline has passed. */
  public long remainingMillis() {
    return Math.max(0, (nanoTime - System.nanoTime()) / NANOS_PER_MILLI);
  }

  /** Returns the remaining time, zero once the deadline has passed. */
  public Duration remaining() {
    return Duration.ofNanos(Math.max(0, nanoTime - System.nanoTime()));
  }

  /** Returns whether the deadline has passed. */
  public boolean hasPassed() {
    return System.nanoTime() - nanoTime >= 0;
  }
}
