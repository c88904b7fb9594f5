package org.ragworttide.coordination.lease;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.VmId;

/**
 * Reads who owns a shard.
 *
 * <p>Invariant: at any time at most one VM of the fleet sees itself as the owner of a shard. Used
 * on the coordination thread only.
 */
public interface LeaseQueries {

  /** Returns whether this VM owns the shard now. */
  boolean isOwner(Shard shard);

  /** Returns when this VM's lease expires on its own clock, or the present time without a lease. */
  long leaseExpiresAtMillis(Shard shard);

  /**
   * Returns the start of the uninterrupted ownership of the shard by this VM, or the present time
   * without a lease.
   */
  long ownedSinceMillis(Shard shard);

  /**
   * Returns the VM that should receive requests for the shard: the owner if this VM knows it,
   * otherwise the preferred owner. The result is a hint without any guarantee.
   */
  Optional<VmId> ownerOf(Shard shard);

  /** Returns the shards that this VM owns now. */
  List<Shard> owned();
}
