package org.ragworttide.coordination.limits;

import java.util.Objects;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * One part of an organisation's limit, with an owner of its own, or what else a VM may ask another
 * for.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param organisation the organisation
 * @param index the part's number, from zero; numbers beyond those of parts stand for the reserve of
 *     the asked VM and for the confirmation of the asking VM's reserve
 */
record LimitPart(OrganisationId organisation, int index) {
  private static final int RESERVE_INDEX = LimitShares.MAX_PARTS;

  private static final int CONFIRMATION_INDEX = RESERVE_INDEX + 1;

  LimitPart {
    Objects.requireNonNull(organisation, "organisation");
  }

  /** Returns what stands for the reserve of the VM that is asked. */
  static LimitPart reserve(OrganisationId organisation) {
    return new LimitPart(organisation, RESERVE_INDEX);
  }

  /** Returns what stands for the owner's confirmation of the asking VM's reserve. */
  static LimitPart confirmation(OrganisationId organisation) {
    return new LimitPart(organisation, CONFIRMATION_INDEX);
  }

  boolean isConfirmation() {
    return index == CONFIRMATION_INDEX;
  }

  boolean isReserve() {
    return index == RESERVE_INDEX;
  }

  /** Returns the name under which the part has an owner. */
  String resource() {
    return index == 0 ? organisation.value() : organisation.value() + '#' + index;
  }
}
