package org.ragworttide.coordination.limits;

import java.util.Objects;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * One part of an organisation's limit, with an owner of its own.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param organisation the organisation
 * @param index the part's number, from zero
 */
record LimitPart(OrganisationId organisation, int index) {

  LimitPart {
    Objects.requireNonNull(organisation, "organisation");
  }

  /** Returns the name under which the part has an owner. */
  String resource() {
    return index == 0 ? organisation.value() : organisation.value() + '#' + index;
  }
}
