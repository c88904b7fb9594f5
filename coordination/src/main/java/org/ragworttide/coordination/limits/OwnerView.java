package org.ragworttide.coordination.limits;

import java.util.Optional;
import org.ragworttide.coordination.id.VmId;

/**
 * Reports who owns a resource, as far as this VM knows.
 *
 * <p>Invariant: {@link #ownership} is exact, {@link #ownerOf} is only a hint. Called on the
 * coordination thread only.
 */
public interface OwnerView {

  /** Returns the VM that probably owns the resource, if one is known. */
  Optional<VmId> ownerOf(String resource);

  /** Returns the current ownership of the resource by this VM, if it has one. */
  Optional<Ownership> ownership(String resource);
}
