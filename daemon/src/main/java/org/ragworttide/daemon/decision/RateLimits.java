package org.ragworttide.daemon.decision;

import org.ragworttide.coordination.id.OrganisationId;
import reactor.core.publisher.Mono;

/**
 * Admits requests within an organisation's rate and burst.
 *
 * <p>Invariant: a request is debited before it is admitted. Implementations are safe for use by any
 * thread.
 */
public interface RateLimits {

  /**
   * Requests admission of one request of the organisation.
   *
   * @param organisation the organisation whose rate applies
   * @param request identifies the request and its content, so that a caller's retry is counted once
   */
  Mono<RateDecision> acquire(OrganisationId organisation, RequestId request);
}
