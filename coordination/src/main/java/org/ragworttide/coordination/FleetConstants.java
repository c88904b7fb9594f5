package org.ragworttide.coordination;

/**
 * Constants that are the same on all daemons of a fleet for the lifetime of the fleet.
 *
 * <p>Invariant: running daemons of one fleet never have different constants; a change requires a
 * fleet with another name. Immutable, safe for use by any thread.
 *
 * @param maxEntryVms maximum number of VMs that run at the same time, including replacements
 * @param claimRetentionMillis how long the key of a non-idempotent request may be sent again
 * @param loadMultiple maximum load of an engine as a multiple of the mean load, above 1
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
