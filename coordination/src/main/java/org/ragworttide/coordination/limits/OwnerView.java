package org.ragworttide.coordination.limits;

import java.util.Optional;
import org.ragworttide.coordination.id.VmId;

/**
 * Tells who owns a resource, as far as this VM knows.
 *
 * <p>Invariant: {@link #ownership} is exact, {@link #ownerOf} is only a hint. Called on the
 * coordination thread only.
 */
public interface OwnerView {

  /** Returns the VM that probably owns the resource, if one is known. */
  Optional<VmId> ownerOf(String resource);

  /** Returns this VM's own hold of the resource, if it has one now. */
  Optional<Ownership> ownership(String resource);
}
