package org.ragworttide.coordination.limits;

import java.util.Objects;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * Target of a request for tokens: one part of an organisation's limit, which has an owner of its
 * own, the reserve of the queried VM, or the confirmation of the requesting VM's reserve.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param organisation the organisation
 * @param index the number of the part, from zero; the two numbers after the largest number of a
 *     part identify the reserve and the confirmation
 */
record LimitPart(OrganisationId organisation, int index) {
  private static final int RESERVE_INDEX = LimitShares.MAX_PARTS;

  private static final int CONFIRMATION_INDEX = RESERVE_INDEX + 1;

  LimitPart {
    Objects.requireNonNull(organisation, "organisation");
  }

  /** Returns the identifier of the reserve of the queried VM. */
  static LimitPart reserve(OrganisationId organisation) {
    return new LimitPart(organisation, RESERVE_INDEX);
  }

  /** Returns the identifier of the owner's confirmation of the requesting VM's reserve. */
  static LimitPart confirmation(OrganisationId organisation) {
    return new LimitPart(organisation, CONFIRMATION_INDEX);
  }

  boolean isConfirmation() {
    return index == CONFIRMATION_INDEX;
  }

  boolean isReserve() {
    return index == RESERVE_INDEX;
  }

  /** Returns the resource name under which the part has an owner. */
  String resource() {
    return index == 0 ? organisation.value() : organisation.value() + '#' + index;
  }
}
