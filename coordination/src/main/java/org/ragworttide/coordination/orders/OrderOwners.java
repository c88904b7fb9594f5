package org.ragworttide.coordination.orders;

import org.ragworttide.coordination.id.UpstreamId;

/**
 * Tells whether this daemon is to order an engine.
 *
 * <p>Nothing rests on it for correctness: two daemons may own an engine for a while. Called on the
 * coordination thread only.
 */
@FunctionalInterface
public interface OrderOwners {

  /** Returns whether this daemon believes that it is to order the engine now. */
  boolean owns(UpstreamId engine);
}
