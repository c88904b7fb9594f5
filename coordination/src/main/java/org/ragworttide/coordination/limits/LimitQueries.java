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
   * Returns when the last permit that this VM has granted so far expires, on the clock of this VM.
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
