package org.ragworttide.coordination.id;

/**
 * Identifier of a model, or of a model with an adapter, that engines serve.
 *
 * <p>Invariant: the value is not blank. Immutable, safe for use by any thread.
 *
 * @param value the identifier as text
 */
public record ModelId(String value) implements Comparable<ModelId> {

  /** Checks that the identifier is usable. */
  public ModelId {
    Ids.requireText(value, "ModelId");
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
