package org.ragworttide.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.routing.Router;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.routing.UpstreamGate;
import org.ragworttide.daemon.DaemonHttp;
import org.ragworttide.daemon.caller.CallerSettings;
import org.ragworttide.daemon.decision.LocalClaims;
import org.ragworttide.daemon.decision.LocalRateLimits;
import org.ragworttide.daemon.decision.LocalRetryBudget;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
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
    RelayPorts ports =
        new RelayPorts(
            new LocalRateLimits(configuration::current),
            new LocalClaims(),
            placement,
            new LocalRetryBudget(0.1, 10));
    return DaemonHttp.start(httpSettings(), configuration::current, ports).map(this::follow);
  }

  private Daemon follow(DaemonHttp http) {
    configuration.subscribe((old, now) -> http.onConfiguration(old.orElse(null), now));
    PlatformClient platform = new PlatformClient(text(settings.platform().address()));
    new DocumentWatch(platform, "configuration", () -> true, this::onConfiguration).start();
    return this;
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
      case DocumentResult.Accepted accepted -> apply(accepted.document());
      case DocumentResult.Refused refused ->
          EventLog.log(LogEvent.CONFIGURATION_REFUSED, version, refused.faults());
    }
  }

  private void apply(ConfigurationDocument document) {
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
}
