package org.ragworttide.coordination.lease;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.VmId;

/**
 * Reads who owns a shard.
 *
 * <p>Invariant: at any time at most one VM of the fleet is told that it is the owner of a shard.
 * Used on the coordination thread only.
 */
public interface LeaseQueries {

  /** Tells whether this VM owns the shard now. */
  boolean isOwner(Shard shard);

  /** Returns when this VM's lease expires on its own clock, or the present time without a lease. */
  long leaseExpiresAtMillis(Shard shard);

  /**
   * Returns since when this VM has owned the shard without a gap, or the present time without a
   * lease.
   */
  long ownedSinceMillis(Shard shard);

  /**
   * Returns whom to ask for the shard: the owner if this VM knows it, else the preferred owner; a
   * hint without any promise.
   */
  Optional<VmId> ownerOf(Shard shard);

  /** Returns the shards that this VM owns now. */
  List<Shard> owned();
}
