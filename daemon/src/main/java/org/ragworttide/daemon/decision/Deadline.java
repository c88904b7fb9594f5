package org.ragworttide.daemon.decision;

import java.time.Duration;

/**
 * The moment after which a caller no longer waits.
 *
 * <p>Invariant: comparable only within one process. Immutable, safe for use by any thread.
 *
 * @param nanoTime the moment on the clock of {@link System#nanoTime()}
 */
public record Deadline(long nanoTime) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the deadline that passes after the given milliseconds. */
  public static Deadline afterMillis(long millis) {
    return new Deadline(System.nanoTime() + millis * NANOS_PER_MILLI);
  }

  /** Returns the milliseconds left, zero once the deadline has passed. */
  public long remainingMillis() {
    return Math.max(0, (nanoTime - System.nanoTime()) / NANOS_PER_MILLI);
  }

  /** Returns the time left, zero once the deadline has passed. */
  public Duration remaining() {
    return Duration.ofNanos(Math.max(0, nanoTime - System.nanoTime()));
  }

  /** Returns whether the deadline has passed. */
  public boolean passed() {
    return System.nanoTime() - nanoTime >= 0;
  }
}
