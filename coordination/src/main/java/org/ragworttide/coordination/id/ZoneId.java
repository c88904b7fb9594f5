package org.ragworttide.coordination.id;

/**
 * Identifier of an availability zone, for spreading work over zones and for taking a zone out.
 *
 * <p>Invariant: the value is not blank. Immutable, safe for use by any thread.
 *
 * @param value the identifier as text
 */
public record ZoneId(String value) implements Comparable<ZoneId> {

  /** Checks that the identifier is usable. */
  public ZoneId {
    Ids.requireText(value, "ZoneId");
  }

  @Override
  public int compareTo(ZoneId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
