package org.ragworttide.coordination.lease;

import org.ragworttide.coordination.group.Shard;

/**
 * Reports until when rights derived from a lease may be in use.
 *
 * <p>Invariant: after the reported time no VM can use a right derived from the lease. Called on the
 * coordination thread only.
 */
@FunctionalInterface
public interface RightsExpiry {

  /** No rights are derived from any lease. */
  RightsExpiry NONE = shard -> 0;

  /** Returns when the last right derived from the shard's lease expires, on this VM's clock. */
  long rightsExpireAtMillis(Shard shard);
}
