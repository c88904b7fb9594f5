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
   * Asks to run one request of the organisation.
   *
   * @param organisation whose rate counts
   * @param request names the request and its content, for counting a caller's retry once
   */
  Mono<RateDecision> acquire(OrganisationId organisation, RequestId request);
}
