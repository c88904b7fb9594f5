package org.ragworttide.gateway.relay;

import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.placement.Prompt;
import org.ragworttide.coordination.placement.UpstreamLoad;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.upstream.Upstream;

/**
 * Counts and logs what happens to requests. Lines are bounded for each event, those of served
 * requests more than those of refused and failed ones; what is left out is counted.
 *
 * <p>Confined to the event loop; the registry may be read by any thread.
 */
public final class Telemetry {
  /** Lines a second of an event of served requests: a VM's usual load. */
  private static final int SERVED_LINES = 40;

  /** Lines a second of any other event: ten times the usual. */
  private static final int OTHER_LINES = 100;

  private static final long SUMMARY_MILLIS = 5_000;

  private final MetricRegistry metrics;
  private final TimerService time;
  private final Map<LogEvent, LineBudget> budgets = new EnumMap<>(LogEvent.class);

  /** Creates a telemetry that counts in the registry. */
  public Telemetry(MetricRegistry metrics, TimerService time) {
    this.metrics = metrics;
    this.time = time;
    time.every(SUMMARY_MILLIS, this::summarise);
  }

  /** Returns the registry. */
  public MetricRegistry metrics() {
    return metrics;
  }

  void placed(
      String requestId,
      UpstreamLoad load,
      int open,
      long nowMillis,
      Optional<Prompt> prompt,
      Optional<Upstream> holder) {
    log(
        LogEvent.RELAY_PLACED,
        requestId,
        load.id(),
        load.estimate(nowMillis),
        load.inFlight(),
        open,
        prompt.map(Prompt::sessionLabel).orElse("none"),
        prompt.map(Prompt::inputTokens).orElse(0),
        holder.map(it -> it.entry().id().value()).orElse("none"));
  }

  void refused(String requestId, Refusal refusal, String cause, long afterMillis) {
    metrics.counter("gateway_refused;reason=" + refusal).inc();
    log(LogEvent.RELAY_REFUSED, requestId, refusal, cause, afterMillis);
  }

  void attemptFailed(String requestId, UpstreamId upstream, String reason, long afterMillis) {
    metrics.counter("gateway_attempts_failed").inc();
    log(LogEvent.RELAY_ATTEMPT_FAILED, requestId, upstream, reason, afterMillis);
  }

  void aborted(String requestId, String reason, long afterMillis) {
    metrics.counter("gateway_aborted").inc();
    log(LogEvent.RELAY_ABORTED, requestId, reason, afterMillis);
  }

  void answered(String requestId, int status, UpstreamId upstream, long afterMillis) {
    metrics.counter("gateway_answered;status=" + status).inc();
    metrics.timer("gateway_answer").update(afterMillis, TimeUnit.MILLISECONDS);
    log(LogEvent.RELAY_ANSWERED, requestId, status, upstream, afterMillis);
  }

  void callerLeft(String requestId, long afterMillis) {
    metrics.counter("gateway_callers_left").inc();
    log(LogEvent.RELAY_CALLER_LEFT, requestId, afterMillis);
  }

  private void log(LogEvent event, Object... parameters) {
    if (budget(event).tryPass(time.nowMillis())) {
      EventLog.log(event, parameters);
    }
  }

  private LineBudget budget(LogEvent event) {
    boolean served = event == LogEvent.RELAY_PLACED || event == LogEvent.RELAY_ANSWERED;
    return budgets.computeIfAbsent(
        event, key -> new LineBudget(served ? SERVED_LINES : OTHER_LINES));
  }

  private void summarise() {
    budgets.forEach(
        (event, budget) -> {
          long leftOut = budget.takeLeftOut();
          if (leftOut > 0) {
            metrics.counter("log_lines_left_out").inc(leftOut);
            EventLog.log(LogEvent.LINES_LEFT_OUT, leftOut, event);
          }
        });
  }
}
