package org.ragworttide.daemon.decision;

/**
 * A place taken on an upstream for one attempt.
 *
 * <p>Invariant: the first release counts, later ones have no effect. Safe for use by any thread.
 */
@FunctionalInterface
public interface Slot {

  /** Gives the place back and tells what became of the attempt. */
  void release(AttemptOutcome outcome);
}
