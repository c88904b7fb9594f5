package org.ragworttide.coordination.id;

/**
 * Identifier of one run of a daemon's process, which distinguishes a restart from a pause.
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
