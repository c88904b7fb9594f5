package org.ragworttide.daemon.metrics;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Metrics of the HTTP path, which docs/METRICS.md lists.
 *
 * <p>Invariant: no metric name contains a key. Safe for use by any thread.
 */
public final class PathMetrics {
  private static final String OPEN_ROUTES = "(open)";
  private static final double MIN_RATE_PER_SECOND = 0.01;

  private final MetricRegistry registry;
  private final Timer timeToSend;
  private final Timer timeToFirstByte;
  private final Map<String, Service> organisations = new ConcurrentHashMap<>();
  private final Map<UpstreamId, AtomicInteger> inFlight = new ConcurrentHashMap<>();

  /** Creates the metrics in the registry. */
  public PathMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.timeToSend = registry.timer("time_to_send");
    this.timeToFirstByte = registry.timer("time_to_first_byte");
    registry.gauge("worst_organisation_share", () -> this::worstShare);
    registry.gauge("upstream_skew", () -> this::skew);
  }

  /** Registers a gauge for a value of another component. */
  public void gauge(String name, IntSupplier value) {
    registry.gauge(name, () -> value::getAsInt);
  }

  /** Counts a request that passed the checks of its syntax and key. */
  public void recordRequest(Optional<OrganisationId> organisation) {
    service(organisation).requests.mark();
  }

  /** Counts a complete answer. */
  public void recordAnswer(Optional<OrganisationId> organisation) {
    service(organisation).answers.mark();
  }

  /** Counts a refusal of a request that failed the check of its syntax or key. */
  public void recordIntakeRefusal(String code) {
    registry.counter("refusals;code=" + code).inc();
  }

  /**
   * Counts a refusal.
   *
   * @param organisation the organisation of the refused request
   * @param code the error code
   * @param insideRate whether the request may have been within the rate of its organisation
   */
  public void recordRefusal(
      Optional<OrganisationId> organisation, String code, boolean insideRate) {
    registry.counter("refusals;code=" + code).inc();
    if (insideRate) {
      registry.counter("refusals_inside_rate;organisation=" + name(organisation)).inc();
    }
  }

  /** Records the time from the arrival of a request to its transmission to an upstream. */
  public void recordTimeToSend(long nanos) {
    timeToSend.update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records the time from the arrival of a request to the first byte of its answer. */
  public void recordTimeToFirstByte(long nanos) {
    timeToFirstByte.update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Counts the start of an attempt. */
  public void recordAttemptStart(UpstreamId upstream) {
    counter(upstream).incrementAndGet();
  }

  /** Counts the end of an attempt by its outcome. */
  public void recordAttemptEnd(UpstreamId upstream, String outcome) {
    counter(upstream).decrementAndGet();
    registry.counter("attempts;outcome=" + outcome).inc();
  }

  /** Counts a retry or the resumption of a stream after a failure. */
  public void recordRetry(boolean resumed) {
    registry.counter(resumed ? "streams_resumed" : "requests_tried_again").inc();
  }

  /** Counts the prompt cache hits and misses that engines report. */
  public void recordCacheReuse(boolean hit) {
    registry.counter("cache_reuse;result=" + (hit ? "hit" : "miss")).inc();
  }

  private AtomicInteger counter(UpstreamId upstream) {
    return inFlight.computeIfAbsent(upstream, unused -> new AtomicInteger());
  }

  private Service service(Optional<OrganisationId> organisation) {
    return organisations.computeIfAbsent(name(organisation), this::service);
  }

  private Service service(String organisation) {
    return new Service(
        registry.meter("requests;organisation=" + organisation),
        registry.meter("answers;organisation=" + organisation));
  }

  private static String name(Optional<OrganisationId> organisation) {
    return organisation.map(OrganisationId::value).orElse(OPEN_ROUTES);
  }

  private double worstShare() {
    return organisations.values().stream()
        .filter(service -> service.requests.getOneMinuteRate() >= MIN_RATE_PER_SECOND)
        .mapToDouble(Service::share)
        .min()
        .orElse(1);
  }

  private double skew() {
    double mean = inFlight.values().stream().mapToInt(AtomicInteger::get).average().orElse(0);
    int max = inFlight.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
    return mean == 0 ? 1 : max / mean;
  }

  private record Service(Meter requests, Meter answers) {
    double share() {
      return Math.min(1, answers.getOneMinuteRate() / requests.getOneMinuteRate());
    }
  }
}
