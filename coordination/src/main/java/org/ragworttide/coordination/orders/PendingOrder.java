package org.ragworttide.coordination.orders;

import java.util.Objects;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * An engine that is not yet what the configuration wants.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param engine the engine
 * @param reason what is waited for, as this daemon sees it
 * @param orders how many orders this daemon sent since the engine last was as wanted
 * @param lastResult what became of the last of them, empty before the first
 */
public record PendingOrder(UpstreamId engine, Reason reason, int orders, String lastResult) {

  /** Checks that nothing is missing. */
  public PendingOrder {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(reason, "reason");
    Objects.requireNonNull(lastResult, "lastResult");
  }

  /** What is waited for. */
  public enum Reason {
    /** The engine has not reported lately. */
    NO_REPORT,
    /** The engine has taken an order of a version that this daemon does not have. */
    SUPERSEDED,
    /** The engine is loading. */
    LOADING,
    /** The weight store's limit is used up. */
    AWAITING_PERMIT,
    /** An order is due or on its way. */
    ORDERING
  }
}
