package org.ragworttide.coordination.id;

/**
 * Identifies one run of a daemon's process, so that a restart is told apart from a pause.
 *
 * <p>Invariant: two runs on one VM have different values, except with negligible probability.
 * Immutable, safe for use by any thread.
 *
 * @param value a random number drawn when the process starts
 */
public record Incarnation(long value) {

  @Override
  public String toString() {
    return Long.toHexString(value);
  }
}
