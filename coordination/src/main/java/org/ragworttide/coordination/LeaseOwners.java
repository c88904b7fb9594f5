package org.ragworttide.coordination;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.lease.LeaseQueries;
import org.ragworttide.coordination.limits.OwnerView;
import org.ragworttide.coordination.limits.Ownership;

/**
 * Finds the owner of a named resource by the lease of its shard.
 *
 * <p>Confined to the coordination thread.
 */
final class LeaseOwners implements OwnerView, org.ragworttide.coordination.admission.OwnerView {
  private final LeaseQueries leases;

  LeaseOwners(LeaseQueries leases) {
    this.leases = leases;
  }

  @Override
  public Optional<VmId> ownerOf(String resource) {
    return leases.ownerOf(Shard.of(resource));
  }

  @Override
  public Optional<Ownership> ownership(String resource) {
    Shard shard = Shard.of(resource);
    return leases.isOwner(shard)
        ? Optional.of(
            new Ownership(leases.ownedSinceMillis(shard), leases.leaseExpiresAtMillis(shard)))
        : Optional.empty();
  }

  @Override
  public OptionalLong ownedUntilMillis(String resource) {
    Shard shard = Shard.of(resource);
    return leases.isOwner(shard)
        ? OptionalLong.of(leases.leaseExpiresAtMillis(shard))
        : OptionalLong.empty();
  }
}
