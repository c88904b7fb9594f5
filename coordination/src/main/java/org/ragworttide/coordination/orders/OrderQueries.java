package org.ragworttide.coordination.orders;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Read-only queries of the orders to engines.
 *
 * <p>Called on the coordination thread only.
 */
public interface OrderQueries {

  /** Returns the engines that do not yet have their wanted state, sorted by name. */
  List<PendingOrder> pending();

  /** Returns the last state reported by an engine that accepts orders, if it reports its state. */
  Optional<EngineState> lastReportedState(UpstreamId engine);

  /** Returns how many reports were ignored as outdated or out of range. */
  long ignoredReports();
}
