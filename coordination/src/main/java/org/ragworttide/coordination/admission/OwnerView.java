package org.ragworttide.coordination.admission;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.coordination.id.VmId;

/**
 * View of the VMs that own resources by leases.
 *
 * <p>Invariant: while {@link #ownedUntilMillis} of a resource is in the future on one VM, it is not
 * on any other VM. Confined to the coordination thread.
 */
public interface OwnerView {

  /**
   * Returns the VM that probably owns the resource; the answer may be out of date if it is another
   * VM.
   */
  Optional<VmId> ownerOf(String resource);

  /** Returns when this VM's ownership of the resource expires, in the time of its timer service. */
  OptionalLong ownedUntilMillis(String resource);
}
