package org.ragworttide.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.retry.RetryBudget;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.daemon.DaemonHttp;
import org.ragworttide.daemon.audit.AuditAction;
import org.ragworttide.daemon.audit.AuditTrail;
import org.ragworttide.daemon.audit.ConfigurationAudit;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.daemon.operator.OperatorServer;
import org.ragworttide.daemon.orders.EngineCalls;
import org.ragworttide.daemon.orders.OrderSender;
import org.ragworttide.daemon.peer.PeerIdentity;
import org.ragworttide.daemon.peer.PeerNetwork;
import org.ragworttide.daemon.peer.SendBudget;
import org.ragworttide.daemon.platform.PlatformClient;
import org.ragworttide.daemon.platform.PlatformFeed;
import org.ragworttide.daemon.relay.RelayPorts;
import org.ragworttide.daemon.tls.PeerTls;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.settings.DaemonSettings;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * A daemon process: its coordination, its HTTP path and its connections to the platform and to
 * peers.
 *
 * <p>Invariant: a drain, once started, ends with the stop of the daemon. Safe for use by any
 * thread.
 */
public final class Daemon {
  private static final double RETRY_SHARE = 0.1;
  private static final int RETRY_BURST = 10;
  private static final long RELEASE_PERIOD_MILLIS = 3_500;

  private final DaemonSettings settings;
  private final Incarnation incarnation = new Incarnation(ThreadLocalRandom.current().nextLong());
  private final MetricRegistry metrics = new MetricRegistry();
  private final CoordinationLoop loop = new CoordinationLoop(Daemon::stopProcess);
  private final ConfigurationHolder configuration = new ConfigurationHolder();
  private final AuditTrail audit = new AuditTrail(Clock.systemUTC());
  private final Sinks.Empty<Void> stopped = Sinks.empty();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final PeerNetwork peers;
  private final PlatformBridge platform;
  private final Coordinator coordinator;
  private final PlatformFeed feed;
  private final SeedListRequester seeds;
  private volatile DaemonHttp http;

  private Daemon(DaemonSettings settings, Optional<PeerTls> tls) {
    this.settings = settings;
    PeerIdentity self = new PeerIdentity(settings.fleet(), settings.vm(), incarnation);
    SendBudget budget = new SendBudget(loop, settings.control().budgetBytesPerSecond());
    this.peers = new PeerNetwork(self, this::receive, this::address, budget, loop, metrics, tls);
    this.platform = new PlatformBridge(loop, configuration, audit);
    this.coordinator =
        new Coordinator(settings.vm(), incarnation, loop, peers, platform, RouterSettings.DEFAULTS);
    PlatformClient client =
        new PlatformClient(DaemonOptions.hostAndPort(settings.platform().address()));
    this.feed = new PlatformFeed(client, platform);
    platform.connect(coordinator, feed);
    this.seeds = new SeedListRequester(settings.peers().seeds(), coordinator.membership(), peers);
  }

  /** Starts a daemon with the settings. */
  public static Mono<Daemon> start(DaemonSettings settings) {
    return Mono.fromCallable(() -> DaemonOptions.peerTls(settings))
        .flatMap(tls -> new Daemon(settings, tls).open());
  }

  /**
   * Finishes the requests in progress and stops; the second and later calls only wait for the stop.
   *
   * @param actor person or program that requested the drain
   */
  public Mono<Void> drain(String actor) {
    if (draining.compareAndSet(false, true)) {
      EventLog.log(LogEvent.DRAINING, actor);
      audit.record(AuditAction.DRAIN, actor, settings.vm().value(), "serving", "draining");
      http.drain()
          .then(Mono.defer(http::close))
          .doFinally(signal -> loop.execute(this::releaseCoordination))
          .subscribe();
    }
    return stopped.asMono();
  }

  /** Completes when the daemon has stopped. */
  public Mono<Void> onStopped() {
    return stopped.asMono();
  }

  private Mono<Daemon> open() {
    EventLog.log(LogEvent.STARTED, settings.vm(), settings.zone(), incarnation);
    RouterPlacement placement = new RouterPlacement(loop, coordinator, configuration::current);
    OrderSender orders =
        new OrderSender(
            loop,
            loop::execute,
            () -> new EngineCalls(http.upstreams()),
            audit,
            metrics,
            settings.vm().value());
    configuration.subscribe(this::apply);
    configuration.subscribe((old, now) -> orders.apply(now));
    configuration.subscribe((old, now) -> coordinator.orders().sendWith(orders));
    configuration.subscribe((old, now) -> placement.apply(now));
    configuration.subscribe(new ConfigurationAudit(audit)::recordChanges);
    RelayPorts ports =
        new RelayPorts(
            new FleetRateLimits(loop, coordinator),
            new FleetClaims(loop, coordinator, settings.control().budgetBytesPerSecond()),
            new QuarantinedPlacement(
                loop, coordinator.quarantineCommands(), platform.incarnations(), placement),
            new RetryBudget(RETRY_SHARE, RETRY_BURST));
    DaemonSettings.Address address = settings.peers().address();
    return peers
        .bind(address.host(), address.port())
        .then(
            DaemonHttp.start(DaemonOptions.http(settings), configuration::current, ports, metrics))
        .doOnNext(started -> http = started)
        .then(Mono.defer(this::serveOperators))
        .then(Mono.fromSupplier(this::startFeed));
  }

  private Mono<Void> serveOperators() {
    DaemonSettings.Address address = settings.operators().address();
    DaemonStatus status =
        new DaemonStatus(settings, incarnation, coordinator, configuration, draining::get, audit);
    loop.every(DaemonStatus.REFRESH_MILLIS, status::refresh);
    metrics.gauge("orders_pending", () -> status::pendingOrders);
    return new OperatorServer(new Operators(status, this::drain), metrics, audit)
        .bind(address.host(), address.port())
        .then();
  }

  private Daemon startFeed() {
    loop.execute(
        () -> configuration.subscribe((old, now) -> http.onConfiguration(old.orElse(null), now)));
    loop.every(SeedListRequester.PERIOD_MILLIS, seeds::requestFromNextSeed);
    feed.start(platform::isReader);
    return this;
  }

  private void apply(Optional<ConfigurationDocument> old, ConfigurationDocument now) {
    coordinator.configure(Policies.constants(now));
    coordinator.apply(Policies.policy(now));
  }

  private void releaseCoordination() {
    coordinator.stop();
    // Before the daemon stops, the links write the messages that release leases and permits,
    // and the last permits expire.
    loop.after(RELEASE_PERIOD_MILLIS, this::stop);
  }

  private void stop() {
    feed.dispose();
    peers.close();
    loop.close();
    EventLog.log(LogEvent.STOPPED);
    stopped.tryEmitEmpty();
  }

  private void receive(VmId from, Incarnation incarnation, PeerMessage message) {
    loop.execute(
        () -> {
          peers.recordReceived(from);
          coordinator.receive(from, message);
          seeds.receive(message);
        });
  }

  private Optional<String> address(VmId vm) {
    return coordinator.membership().list().flatMap(list -> list.find(vm)).map(VmEntry::address);
  }

  private static void stopProcess(Throwable cause) {
    EventLog.log(LogEvent.INVARIANT_BROKEN, cause);
    cause.printStackTrace();
    Runtime.getRuntime().halt(ExitCode.BROKEN_INVARIANT.code());
  }
}
