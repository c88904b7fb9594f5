package org.ragworttide.coordination.orders;

import java.util.Objects;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * The whole wanted state of one engine as of a configuration version.
 *
 * <p>Invariant: two orders to one engine with the same number want the same state; they may differ
 * in what may be fetched. Immutable, safe for use by any thread.
 *
 * @param engine who takes it
 * @param fencingNumber the configuration version
 * @param wanted what the engine is to be
 * @param fetch the one artifact that the engine may fetch from the weight store for it
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
