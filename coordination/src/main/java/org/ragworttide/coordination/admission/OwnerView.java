package org.ragworttide.coordination.admission;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.coordination.id.VmId;

/**
 * Tells which VM owns a resource by a lease.
 *
 * <p>Invariant: while one VM has {@link #ownedUntilMillis} in the future for a resource, no other
 * VM has. Confined to the coordination thread.
 */
public interface OwnerView {

  /** Returns the VM that is believed to own the resource; it may be wrong about other VMs. */
  Optional<VmId> ownerOf(String resource);

  /** Returns until when this VM owns the resource, in the time of its timer service. */
  OptionalLong ownedUntilMillis(String resource);
}
