package org.ragworttide.coordination.orders;

import java.util.Objects;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Status of an engine that does not yet have its wanted state.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param engine the engine
 * @param reason what delays the wanted state, as far as this daemon knows
 * @param orders number of orders that this daemon sent since the engine last had its wanted state
 * @param lastResult result of the last order, empty before the first
 */
public record PendingOrder(UpstreamId engine, Reason reason, int orders, String lastResult) {

  /** Checks that nothing is missing. */
  public PendingOrder {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(reason, "reason");
    Objects.requireNonNull(lastResult, "lastResult");
  }

  /** What delays the wanted state. */
  public enum Reason {
    /** The engine has not reported recently. */
    NO_REPORT,
    /** The engine has accepted an order of a version that this daemon does not have. */
    SUPERSEDED,
    /** The engine is loading. */
    LOADING,
    /** The order waits for a permit under the limit of the weight store. */
    AWAITING_PERMIT,
    /** An order is due or in flight. */
    ORDERING
  }
}
