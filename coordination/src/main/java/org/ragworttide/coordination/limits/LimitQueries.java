package org.ragworttide.coordination.limits;

import org.ragworttide.coordination.id.OrganisationId;

/**
 * Reads the state of the fleet-wide limits.
 *
 * <p>Called on the coordination thread only.
 */
public interface LimitQueries {

  /** Returns the events counted since the start. */
  LimitCounters counters();

  /** Returns when the last permit handed out by this VM until now is over, on this VM's clock. */
  long permitsOverAtMillis();

  /** Returns the unused tokens that this VM holds in valid permits. */
  long heldTokens(OrganisationId organisation);

  /** Returns the whole tokens in this VM's reserve. */
  long reservedTokens(OrganisationId organisation);

  /** Returns level plus outstanding at this VM as owner, in whole tokens rounded down. */
  long ownedTokens(OrganisationId organisation);
}
