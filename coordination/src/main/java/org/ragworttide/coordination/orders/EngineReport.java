package org.ragworttide.coordination.orders;

import java.util.Objects;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Part of an engine's published report that concerns orders.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param engine the engine
 * @param incarnation the run of the engine's process
 * @param measuredAtMillis time of the measurement on the clock of this process's timer service
 * @param state the state that the engine reports, empty if it reports none
 */
public record EngineReport(
    UpstreamId engine, long incarnation, long measuredAtMillis, Optional<EngineState> state) {

  /** Checks that nothing is missing. */
  public EngineReport {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(state, "state");
  }
}
