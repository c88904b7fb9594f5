package org.ragworttide.daemon.decision;

import java.net.InetSocketAddress;
import org.ragworttide.coordination.id.UpstreamId;

/** Where a request runs; immutable, safe for use by any thread. */
public sealed interface PlacementDecision {

  /**
   * The request runs on this upstream.
   *
   * @param upstream the chosen upstream
   * @param address where it listens
   * @param slot the place taken on it
   */
  record Placed(UpstreamId upstream, InetSocketAddress address, Slot slot)
      implements PlacementDecision {}

  /**
   * The request can't run now.
   *
   * @param refusal why
   * @param retryAfterMillis when another try can succeed, zero if it never will
   */
  record Refused(PlacementRefusal refusal, long retryAfterMillis) implements PlacementDecision {}
}
