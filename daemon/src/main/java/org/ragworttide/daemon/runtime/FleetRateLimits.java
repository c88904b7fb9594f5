package org.ragworttide.daemon.runtime;

import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.limits.LimitDecision;
import org.ragworttide.coordination.limits.RefusalReason;
import org.ragworttide.daemon.decision.RateDecision;
import org.ragworttide.daemon.decision.RateLimits;
import org.ragworttide.daemon.decision.RequestId;
import reactor.core.publisher.Mono;

/**
 * Admits requests by the fleet-wide rate limits.
 *
 * <p>Invariant: the limits are accessed on the coordination thread only. Safe for use by any
 * thread.
 */
final class FleetRateLimits implements RateLimits {
  private final CoordinationLoop loop;
  private final Coordinator coordinator;

  FleetRateLimits(CoordinationLoop loop, Coordinator coordinator) {
    this.loop = loop;
    this.coordinator = coordinator;
  }

  @Override
  public Mono<RateDecision> acquire(OrganisationId organisation, RequestId request) {
    return loop.<LimitDecision>call(
            answer -> coordinator.limitCommands().acquire(organisation, request.value(), answer))
        .map(FleetRateLimits::translate);
  }

  private static RateDecision translate(LimitDecision decision) {
    return switch (decision) {
      case LimitDecision.Admitted admitted -> new RateDecision.Admitted();
      case LimitDecision.Refused refused ->
          refused.reason() == RefusalReason.RATE_EXCEEDED
              ? new RateDecision.Limited(refused.retryAfterMillis())
              : new RateDecision.Unavailable(refused.retryAfterMillis());
    };
  }
}
