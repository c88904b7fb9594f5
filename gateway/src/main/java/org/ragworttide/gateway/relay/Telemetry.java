package org.ragworttide.gateway.relay;

import com.codahale.metrics.MetricRegistry;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.placement.UpstreamLoad;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;

/**
 * Counts and logs what happens to requests.
 *
 * <p>Safe for use by any thread.
 */
public final class Telemetry {
  private final MetricRegistry metrics;

  /** Creates a telemetry that counts in the registry. */
  public Telemetry(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /** Returns the registry. */
  public MetricRegistry metrics() {
    return metrics;
  }

  void placed(String requestId, UpstreamLoad load, int open, long nowMillis, String session) {
    EventLog.log(
        LogEvent.RELAY_PLACED,
        requestId,
        load.id(),
        load.estimate(nowMillis),
        load.inFlight(),
        open,
        session);
  }

  void refused(String requestId, Refusal refusal, String cause, long afterMillis) {
    metrics.counter("gateway_refused;reason=" + refusal).inc();
    EventLog.log(LogEvent.RELAY_REFUSED, requestId, refusal, cause, afterMillis);
  }

  void attemptFailed(String requestId, UpstreamId upstream, String reason, long afterMillis) {
    metrics.counter("gateway_attempts_failed").inc();
    EventLog.log(LogEvent.RELAY_ATTEMPT_FAILED, requestId, upstream, reason, afterMillis);
  }

  void aborted(String requestId, String reason, long afterMillis) {
    metrics.counter("gateway_aborted").inc();
    EventLog.log(LogEvent.RELAY_ABORTED, requestId, reason, afterMillis);
  }

  void answered(String requestId, int status, UpstreamId upstream, long afterMillis) {
    metrics.counter("gateway_answered;status=" + status).inc();
    EventLog.log(LogEvent.RELAY_ANSWERED, requestId, status, upstream, afterMillis);
  }

  void callerLeft(String requestId, long afterMillis) {
    metrics.counter("gateway_callers_left").inc();
    EventLog.log(LogEvent.RELAY_CALLER_LEFT, requestId, afterMillis);
  }
}
