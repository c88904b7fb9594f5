package org.ragworttide.coordination.group;

import org.ragworttide.coordination.id.Incarnation;

/**
 * Generates the request numbers of one process, by which an answer is matched to its request.
 *
 * <p>Invariants: numbers increase; those of two runs of a process differ, except with negligible
 * probability, so that an answer to an earlier run is never counted. Used on the coordination
 * thread only.
 */
public final class AttemptNumbers {
  private static final int HEADROOM_BITS = 2;

  private long last;

  /** Creates the generator of one process. */
  public AttemptNumbers(Incarnation incarnation) {
    this.last = incarnation.value() >>> HEADROOM_BITS;
  }

  /** Returns the next number. */
  public long next() {
    return ++last;
  }

  /** Returns the most recently generated number. */
  public long last() {
    return last;
  }
}
