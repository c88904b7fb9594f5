package org.ragworttide.coordination.orders;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Tells what is known of orders to engines, without changing anything.
 *
 * <p>Called on the coordination thread only.
 */
public interface OrderQueries {

  /** Returns the engines that are not yet what the configuration wants, sorted by name. */
  List<PendingOrder> pending();

  /** Returns what an engine that takes orders said last of itself, if it tells. */
  Optional<EngineState> reported(UpstreamId engine);

  /** Returns how many reports were ignored because they cannot be true. */
  long ignoredReports();
}
