package org.ragworttide.coordination.id;

/**
 * Identifier of an entry VM, for addressing peers and selecting groups.
 *
 * <p>Invariant: the value is not blank. Immutable, safe for use by any thread.
 *
 * @param value the identifier as text
 */
public record VmId(String value) implements Comparable<VmId> {

  /** Checks that the identifier is usable. */
  public VmId {
    Ids.requireText(value, "VmId");
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
