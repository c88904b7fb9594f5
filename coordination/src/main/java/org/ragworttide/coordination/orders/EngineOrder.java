package org.ragworttide.coordination.orders;

import java.util.Objects;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Order that carries the complete wanted state of one engine as of a configuration version.
 *
 * <p>Invariant: two orders to one engine with the same fencing number want the same state; they may
 * differ in the artifact that the engine may fetch. Immutable, safe for use by any thread.
 *
 * @param engine the engine that receives the order
 * @param fencingNumber the configuration version
 * @param wanted the wanted state of the engine
 * @param fetch the single artifact that the order allows the engine to fetch from the weight store
 */
public record EngineOrder(
    UpstreamId engine, long fencingNumber, WantedState wanted, Optional<Artifact> fetch) {

  /** Checks that nothing is missing. */
  public EngineOrder {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(wanted, "wanted");
    Objects.requireNonNull(fetch, "fetch");
  }
}
