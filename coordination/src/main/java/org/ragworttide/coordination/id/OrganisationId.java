package org.ragworttide.coordination.id;

/**
 * Identifier of an organisation, whose rate and burst apply fleet-wide.
 *
 * <p>Invariant: the value is not blank. Immutable, safe for use by any thread.
 *
 * @param value the identifier as text
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

  /** Checks that the identifier is usable. */
  public OrganisationId {
    Ids.requireText(value, "OrganisationId");
  }

  @Override
  public int compareTo(OrganisationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
