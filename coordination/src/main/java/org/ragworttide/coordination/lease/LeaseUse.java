package org.ragworttide.coordination.lease;

import org.ragworttide.coordination.group.Shard;

/**
 * Tells until when rights handed out under a lease are still in use.
 *
 * <p>Invariant: after the time told no right handed out under the lease can be used by anybody.
 * Called on the coordination thread only.
 */
@FunctionalInterface
public interface LeaseUse {

  /** Nothing is handed out under any lease. */
  LeaseUse NONE = shard -> 0;

  /** Returns when the last right handed out under the shard's lease is over, on this VM's clock. */
  long unusedFromMillis(Shard shard);
}
