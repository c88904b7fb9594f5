package org.ragworttide.coordination;

/**
 * What all daemons of a fleet must agree on for as long as the fleet lives.
 *
 * <p>Invariant: running daemons of one fleet never have different constants; a change needs a fleet
 * of another name. Immutable, safe for use by any thread.
 *
 * @param maxEntryVms most VMs that ever run at one time, replacements included
 * @param claimRetentionMillis how long the key of a non-idempotent request may return
 * @param loadMultiple most load an engine carries, as a multiple of the mean, above 1
 */
public record FleetConstants(int maxEntryVms, long claimRetentionMillis, double loadMultiple) {

  /** Checks the ranges. */
  public FleetConstants {
    if (maxEntryVms <= 0 || claimRetentionMillis <= 0) {
      throw new IllegalArgumentException("maxEntryVms and claimRetentionMillis must be positive");
    }
    if (!(loadMultiple > 1)) {
      throw new IllegalArgumentException("loadMultiple must be above 1: " + loadMultiple);
    }
  }
}
