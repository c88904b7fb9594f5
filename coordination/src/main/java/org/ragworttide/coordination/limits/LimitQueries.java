package org.ragworttide.coordination.limits;

import org.ragworttide.coordination.id.OrganisationId;

/**
 * Reads the state of the fleet-wide limits.
 *
 * <p>Called on the coordination thread only.
 */
public interface LimitQueries {

  /** Returns the counts of events since the start. */
  LimitCounters counters();

  /**
   * Returns the time, on the clock of this VM, by which all permits that it has granted so far have
   * expired.
   */
  long permitsExpireAtMillis();

  /** Returns the unused tokens that this VM holds in valid permits. */
  long heldTokens(OrganisationId organisation);

  /** Returns the whole tokens in this VM's reserve. */
  long reservedTokens(OrganisationId organisation);

  /**
   * Returns the tokens of the parts that this VM owns, both in the buckets and outstanding, in
   * whole tokens rounded down.
   */
  long ownedTokens(OrganisationId organisation);
}
