package org.ragworttide.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.routing.Router;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.routing.UpstreamGate;
import org.ragworttide.daemon.DaemonHttp;
import org.ragworttide.daemon.audit.AuditAction;
import org.ragworttide.daemon.audit.AuditTrail;
import org.ragworttide.daemon.audit.ConfigurationAudit;
import org.ragworttide.daemon.caller.CallerSettings;
import org.ragworttide.daemon.decision.LocalClaims;
import org.ragworttide.daemon.decision.LocalRateLimits;
import org.ragworttide.daemon.decision.LocalRetryBudget;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.daemon.operator.OperatorActions;
import org.ragworttide.daemon.operator.OperatorServer;
import org.ragworttide.daemon.platform.DocumentWatch;
import org.ragworttide.daemon.platform.PlatformClient;
import org.ragworttide.daemon.platform.PlatformReply;
import org.ragworttide.daemon.relay.RelayPorts;
import org.ragworttide.daemon.relay.RelaySettings;
import org.ragworttide.daemon.upstream.UpstreamSettings;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.DocumentReader;
import org.ragworttide.document.DocumentResult;
import org.ragworttide.document.settings.DaemonSettings;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;

/**
 * One daemon: its coordination, its HTTP path and its links to the platform and to peers.
 *
 * <p>Safe for use by any thread.
 */
public final class Daemon {
  private final DaemonSettings settings;
  private final Incarnation incarnation;
  private final MetricRegistry metrics = new MetricRegistry();
  private final CoordinationLoop loop;
  private final ConfigurationHolder configuration = new ConfigurationHolder();
  private final AuditTrail audit = new AuditTrail(Clock.systemUTC());
  private final Sinks.Empty<Void> stopped = Sinks.empty();
  private final AtomicBoolean draining = new AtomicBoolean();
  private volatile DaemonHttp http;

  private Daemon(DaemonSettings settings) {
    this.settings = settings;
    this.incarnation = new Incarnation(ThreadLocalRandom.current().nextLong());
    this.loop = new CoordinationLoop(Daemon::stopProcess);
  }

  /** Starts a daemon with the settings. */
  public static Mono<Daemon> start(DaemonSettings settings) {
    return Mono.defer(() -> new Daemon(settings).start());
  }

  private Mono<Daemon> start() {
    EventLog.log(LogEvent.STARTED, settings.vm(), settings.zone(), incarnation);
    Router router = new Router(loop, RouterSettings.DEFAULTS, UpstreamGate.OPEN);
    RouterPlacement placement = new RouterPlacement(loop, router, configuration::current);
    configuration.subscribe((old, now) -> placement.apply(now));
    configuration.subscribe(new ConfigurationAudit(audit)::changed);
    RelayPorts ports =
        new RelayPorts(
            new LocalRateLimits(configuration::current),
            new LocalClaims(),
            placement,
            new LocalRetryBudget(0.1, 10));
    return DaemonHttp.start(httpSettings(), configuration::current, ports)
        .doOnNext(started -> http = started)
        .then(Mono.defer(this::serveOperators))
        .then(Mono.fromSupplier(this::follow));
  }

  private Mono<? extends DisposableServer> serveOperators() {
    DaemonSettings.Address address = settings.operators().address();
    return new OperatorServer(new Actions(), metrics, audit).bind(address.host(), address.port());
  }

  private Daemon follow() {
    configuration.subscribe((old, now) -> http.onConfiguration(old.orElse(null), now));
    PlatformClient platform = new PlatformClient(text(settings.platform().address()));
    new DocumentWatch(platform, "configuration", () -> true, this::onConfiguration).start();
    return this;
  }

  /**
   * Finishes what runs and stops; the second call and later ones only wait.
   *
   * @param actor who or what asked for it
   */
  public Mono<Void> drain(String actor) {
    if (draining.compareAndSet(false, true)) {
      EventLog.log(LogEvent.DRAINING, actor);
      audit.record(AuditAction.DRAIN, actor, settings.vm().value(), "serving", "draining");
      http.close().doFinally(signal -> stop()).subscribe();
    }
    return stopped.asMono();
  }

  /** Completes when the daemon has stopped. */
  public Mono<Void> onStopped() {
    return stopped.asMono();
  }

  private void stop() {
    loop.close();
    EventLog.log(LogEvent.STOPPED);
    stopped.tryEmitEmpty();
  }

  private void onConfiguration(PlatformReply reply) {
    switch (reply) {
      case PlatformReply.Published published ->
          loop.execute(() -> apply(published.version(), published.body()));
      case PlatformReply.Unavailable unavailable ->
          EventLog.log(LogEvent.PLATFORM_UNAVAILABLE, "configuration", unavailable.reason());
      case PlatformReply.Unchanged unchanged -> {}
    }
  }

  private void apply(long version, byte[] body) {
    switch (DocumentReader.read(body)) {
      case DocumentResult.Accepted accepted -> putInForce(accepted.document());
      case DocumentResult.Refused refused -> refuse(version, refused);
    }
  }

  private void refuse(long version, DocumentResult.Refused refused) {
    EventLog.log(LogEvent.CONFIGURATION_REFUSED, version, refused.faults());
    audit.record(
        AuditAction.CONFIGURATION_REFUSED,
        "platform",
        "fleet",
        Long.toString(version),
        refused.faults().getFirst().toString());
  }

  private void putInForce(ConfigurationDocument document) {
    Optional<Long> before = Optional.ofNullable(configuration.current()).map(d -> d.version());
    if (configuration.apply(document)) {
      EventLog.log(
          LogEvent.CONFIGURATION_APPLIED,
          document.version(),
          before.map(String::valueOf).orElse("none"));
    }
  }

  private DaemonHttp.Settings httpSettings() {
    DaemonSettings.Address address = settings.callers().address();
    CallerSettings callers = CallerSettings.defaults(address.host(), address.port());
    return new DaemonHttp.Settings(callers, RelaySettings.defaults(), UpstreamSettings.defaults());
  }

  private static String text(DaemonSettings.Address address) {
    return address.host() + ":" + address.port();
  }

  private static void stopProcess(Throwable cause) {
    EventLog.log(LogEvent.INVARIANT_BROKEN, cause);
    Runtime.getRuntime().halt(ExitCode.BROKEN_INVARIANT.code());
  }

  /** Answers operators; safe for use by any thread. */
  private final class Actions implements OperatorActions {

    @Override
    public boolean isReady() {
      return configuration.current() != null && !draining.get();
    }

    @Override
    public Map<String, Object> status() {
      Map<String, Object> status = new LinkedHashMap<>();
      status.put("vm", settings.vm().value());
      status.put("zone", settings.zone().value());
      status.put("incarnation", incarnation.toString());
      status.put("ready", isReady());
      ConfigurationDocument document = configuration.current();
      status.put("configurationVersion", document == null ? 0 : document.version());
      return status;
    }

    @Override
    public void drain(String actor) {
      Daemon.this.drain(actor);
    }
  }
}
