package org.ragworttide.daemon.decision;

import java.net.InetSocketAddress;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Result of a placement: the upstream that runs the request, or a refusal; immutable, safe for use
 * by any thread.
 */
public sealed interface PlacementDecision {

  /**
   * The request runs on this upstream.
   *
   * @param upstream the chosen upstream
   * @param address the address on which the upstream listens
   * @param slot the slot taken on the upstream
   */
  record Placed(UpstreamId upstream, InetSocketAddress address, Slot slot)
      implements PlacementDecision {}

  /**
   * The request can't run now.
   *
   * @param refusal the reason
   * @param retryAfterMillis time after which a retry can succeed, zero if it never can
   */
  record Refused(PlacementRefusal refusal, long retryAfterMillis) implements PlacementDecision {}
}
