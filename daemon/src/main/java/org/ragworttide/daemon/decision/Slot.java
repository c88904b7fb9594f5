package org.ragworttide.daemon.decision;

/**
 * Unit of capacity on an upstream, held by one attempt.
 *
 * <p>Invariant: only the first release has an effect. Safe for use by any thread.
 */
@FunctionalInterface
public interface Slot {

  /** Returns the capacity to the upstream and reports the outcome of the attempt. */
  void release(AttemptOutcome outcome);
}
