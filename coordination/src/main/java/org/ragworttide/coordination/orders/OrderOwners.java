package org.ragworttide.coordination.orders;

import org.ragworttide.coordination.id.UpstreamId;

/**
 * Decides whether this daemon sends orders to an engine.
 *
 * <p>Correctness does not depend on it: two daemons may own an engine for a while. Called on the
 * coordination thread only.
 */
@FunctionalInterface
public interface OrderOwners {

  /** Returns whether this daemon, as far as it knows, currently owns the engine. */
  boolean owns(UpstreamId engine);
}
