package org.ragworttide.gateway.relay;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.placement.PeerLoads;
import org.ragworttide.coordination.placement.Prompt;
import org.ragworttide.coordination.placement.UpstreamLoad;
import org.ragworttide.coordination.quarantine.Suspect;
import org.ragworttide.coordination.streams.SoleVersion;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.tunnel.TunnelReply;
import org.ragworttide.gateway.upstream.ForeignBytesListener;
import org.ragworttide.gateway.upstream.Upstream;

/**
 * Updates the metrics and logs the events of requests. Limits the log rate of each event, more
 * tightly for events of served requests than for other events, and counts the suppressed lines.
 *
 * <p>Confined to the event loop; the registry may be read by any thread.
 */
public final class Telemetry implements ForeignBytesListener {
  /** Lines logged per second for an event of served requests: a VM's usual load. */
  private static final int SERVED_LINES_PER_SECOND = 40;

  /** Lines logged per second for any other event: ten times the usual rate. */
  private static final int OTHER_LINES_PER_SECOND = 100;

  private static final long SUMMARY_PERIOD_MILLIS = 5_000;

  private final MetricRegistry metrics;
  private final TimerService time;
  private final Map<LogEvent, LineBudget> budgets = new EnumMap<>(LogEvent.class);

  /** Creates a telemetry that records metrics in the registry. */
  public Telemetry(MetricRegistry metrics, TimerService time) {
    this.metrics = metrics;
    this.time = time;
    time.every(SUMMARY_PERIOD_MILLIS, this::logSuppressedCounts);
  }

  /** Returns the registry of the metrics. */
  public MetricRegistry metrics() {
    return metrics;
  }

  void recordPlacement(
      String requestId,
      UpstreamLoad load,
      PeerLoads peers,
      int availableUpstreams,
      long nowMillis,
      Optional<Prompt> prompt,
      Optional<Upstream> fetchSource,
      List<Suspect> sharedParts) {
    log(
        LogEvent.RELAY_PLACED,
        requestId,
        load.id(),
        load.estimatedRequests(nowMillis),
        load.inFlight(),
        peers.statingPeers(),
        peers.fleetSize() - 1,
        load.reportAgeMillis(nowMillis).orElse(-1),
        availableUpstreams,
        prompt.map(Prompt::sessionLabel).orElse("none"),
        prompt.map(Prompt::inputTokens).orElse(0),
        fetchSource.map(it -> it.entry().id().value()).orElse("none"),
        sharedParts);
  }

  /** Records that a caller's request continues a stream. */
  void recordContinuation(String requestId, RequestMetadata.Continuation continuation) {
    metrics.counter("gateway_streams_continued").inc();
    log(
        LogEvent.STREAM_CONTINUED,
        requestId,
        continuation.firstRequestId().orElse("unknown"),
        continuation.lastEventId());
  }

  /** Records which version may continue a stream that no VM remembers. */
  void recordUnknownStream(SoleVersion sole) {
    metrics.counter("gateway_streams_unknown;version=" + sole.getClass().getSimpleName()).inc();
  }

  void recordRefusal(String requestId, Refusal refusal, String cause, long elapsedMillis) {
    metrics.counter("gateway_refused;reason=" + refusal).inc();
    log(LogEvent.RELAY_REFUSED, requestId, refusal, cause, elapsedMillis);
  }

  void recordFailedAttempt(
      String requestId, UpstreamId upstream, String reason, long elapsedMillis) {
    metrics.counter("gateway_attempts_failed").inc();
    log(LogEvent.RELAY_ATTEMPT_FAILED, requestId, upstream, reason, elapsedMillis);
  }

  /** Records that an upstream's statement arrived while the connection for a request was opened. */
  void recordWithheldAttempt() {
    metrics.counter("gateway_attempts_withheld").inc();
  }

  /** Records that a request may not be sent to the cold upstream that was chosen for it. */
  void recordColdRefusal() {
    metrics.counter("gateway_cold_refusals").inc();
  }

  /** Records that a request may not be sent to the brittle upstream that was chosen for it. */
  void recordBrittleRefusal() {
    metrics.counter("gateway_brittle_refusals").inc();
  }

  /** Records that a request is sent to an upstream through another VM. */
  void recordTunnelOpened(String requestId, UpstreamId upstream, InetSocketAddress vm) {
    metrics.counter("gateway_tunnels_opened").inc();
    log(LogEvent.TUNNEL_OPENED, requestId, upstream, vm);
  }

  /** Records that a request of another VM is connected to an upstream. */
  public void recordTunnelServed(String requestId, SocketAddress vm, UpstreamId upstream) {
    metrics.counter("gateway_tunnels_served").inc();
    log(LogEvent.TUNNEL_SERVED, requestId, vm, upstream);
  }

  /** Records that a request of another VM is not connected to an upstream. */
  public void recordTunnelRefused(String requestId, SocketAddress vm, TunnelReply reply) {
    metrics.counter("gateway_tunnels_refused;reason=" + reply).inc();
    log(LogEvent.TUNNEL_REFUSED, requestId, vm, reply);
  }

  void recordAbort(String requestId, String reason, long elapsedMillis) {
    metrics.counter("gateway_aborted").inc();
    log(LogEvent.RELAY_ABORTED, requestId, reason, elapsedMillis);
  }

  void recordResponse(String requestId, int status, UpstreamId upstream, long elapsedMillis) {
    metrics.counter("gateway_answered;status=" + status).inc();
    metrics.timer("gateway_answer").update(elapsedMillis, TimeUnit.MILLISECONDS);
    log(LogEvent.RELAY_ANSWERED, requestId, status, upstream, elapsedMillis);
  }

  @Override
  public void responseSkipped(UpstreamId upstream, String responseId, String awaitedId) {
    metrics.counter("gateway_responses_skipped").inc();
    log(LogEvent.RESPONSE_SKIPPED, responseId, upstream, awaitedId);
  }

  @Override
  public void connectionDiscarded(UpstreamId upstream, String reason) {
    metrics.counter("gateway_connections_discarded").inc();
    log(LogEvent.CONNECTION_DISCARDED, upstream, reason);
  }

  void recordDisconnect(String requestId, long elapsedMillis) {
    metrics.counter("gateway_callers_left").inc();
    log(LogEvent.RELAY_CALLER_LEFT, requestId, elapsedMillis);
  }

  private void log(LogEvent event, Object... parameters) {
    if (budget(event).tryAcquire(time.nowMillis())) {
      EventLog.log(event, parameters);
    }
  }

  private LineBudget budget(LogEvent event) {
    boolean served = event == LogEvent.RELAY_PLACED || event == LogEvent.RELAY_ANSWERED;
    return budgets.computeIfAbsent(
        event, key -> new LineBudget(served ? SERVED_LINES_PER_SECOND : OTHER_LINES_PER_SECOND));
  }

  private void logSuppressedCounts() {
    budgets.forEach(
        (event, budget) -> {
          long suppressed = budget.takeSuppressedCount();
          if (suppressed > 0) {
            metrics.counter("log_lines_left_out").inc(suppressed);
            EventLog.log(LogEvent.LINES_LEFT_OUT, suppressed, event);
          }
        });
  }
}
