package org.ragworttide.coordination.id;

/**
 * Identifier of an upstream: a model engine or a plain service.
 *
 * <p>Invariant: the value is not blank. Immutable, safe for use by any thread.
 *
 * @param value the identifier as text
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

  /** Checks that the identifier is usable. */
  public UpstreamId {
    Ids.requireText(value, "UpstreamId");
  }

  @Override
  public int compareTo(UpstreamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
