package org.ragworttide.daemon.decision;

import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.RequestKey;
import reactor.core.publisher.Mono;

/**
 * Grants the right to run a non-idempotent request.
 *
 * <p>Invariant: one key of one organisation is granted at most once as long as a retry with it may
 * arrive. Implementations are safe for use by any thread.
 */
public interface Claims {

  /** Requests the right to run the request with the key. */
  Mono<ClaimDecision> claim(OrganisationId organisation, RequestKey key);
}
