package org.ragworttide.daemon.decision;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Organisation;
import reactor.core.publisher.Mono;

/**
 * Limits rates within one daemon by one token bucket per organisation.
 *
 * <p>Invariant: a bucket never holds more than the burst. Safe for use by any thread.
 */
public final class LocalRateLimits implements RateLimits {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  private final Supplier<ConfigurationDocument> configuration;
  private final Map<OrganisationId, Bucket> buckets = new ConcurrentHashMap<>();

  /** Creates full buckets for the organisations of the configuration. */
  public LocalRateLimits(Supplier<ConfigurationDocument> configuration) {
    this.configuration = configuration;
  }

  @Override
  public Mono<RateDecision> acquire(OrganisationId organisation, RequestId request) {
    return Mono.fromSupplier(() -> decide(organisation));
  }

  private RateDecision decide(OrganisationId id) {
    return configuration.get().organisations().stream()
        .filter(organisation -> organisation.id().equals(id.value()))
        .findFirst()
        .map(organisation -> bucket(id, organisation).acquire(organisation))
        .orElseGet(() -> new RateDecision.Limited((long) MILLIS_PER_SECOND));
  }

  private Bucket bucket(OrganisationId id, Organisation organisation) {
    return buckets.computeIfAbsent(id, unused -> new Bucket(organisation.burst()));
  }

  private static final class Bucket {
    private double tokens;
    private long lastRefillNanos = System.nanoTime();

    Bucket(double tokens) {
      this.tokens = tokens;
    }

    synchronized RateDecision acquire(Organisation organisation) {
      long now = System.nanoTime();
      double refill = (now - lastRefillNanos) / NANOS_PER_SECOND * organisation.ratePerSecond();
      tokens = Math.min(organisation.burst(), tokens + refill);
      lastRefillNanos = now;
      if (tokens >= 1) {
        tokens -= 1;
        return new RateDecision.Admitted();
      }
      double waitSeconds = (1 - tokens) / organisation.ratePerSecond();
      return new RateDecision.Limited((long) Math.ceil(waitSeconds * MILLIS_PER_SECOND));
    }
  }
}
