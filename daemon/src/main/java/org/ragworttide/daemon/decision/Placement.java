package org.ragworttide.daemon.decision;

import reactor.core.publisher.Mono;

/**
 * Chooses the upstream that runs a request.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface Placement {

  /** Requests an upstream for the request, with a slot on it that the subscriber must release. */
  Mono<PlacementDecision> place(PlacementRequest request);
}
