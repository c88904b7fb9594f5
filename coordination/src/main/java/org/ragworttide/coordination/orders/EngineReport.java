package org.ragworttide.coordination.orders;

import java.util.Objects;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * An engine's published report, as far as it concerns orders.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param engine the engine
 * @param incarnation the run of the engine's process
 * @param measuredAtMillis when it was taken, in the time of this process's timer service
 * @param state what the engine says it is, empty if it does not tell
 */
public record EngineReport(
    UpstreamId engine, long incarnation, long measuredAtMillis, Optional<EngineState> state) {

  /** Checks that nothing is missing. */
  public EngineReport {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(state, "state");
  }
}
