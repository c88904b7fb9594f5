package org.ragworttide.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import org.ragworttide.coordination.admission.StopAdmission;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.feed.ItemRules;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.coordination.zones.TunnelPeers;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.daemon.metrics.MetricsText;
import org.ragworttide.gateway.caller.CallerConnections;
import org.ragworttide.gateway.caller.CallerServer;
import org.ragworttide.gateway.feed.ChangeFeed;
import org.ragworttide.gateway.feed.FeedAddress;
import org.ragworttide.gateway.peer.BrittleUpstreams;
import org.ragworttide.gateway.peer.CarriedPauses;
import org.ragworttide.gateway.peer.ColdStarts;
import org.ragworttide.gateway.peer.PeerExchange;
import org.ragworttide.gateway.peer.StreamDirectory;
import org.ragworttide.gateway.relay.CrashCheck;
import org.ragworttide.gateway.relay.Placement;
import org.ragworttide.gateway.relay.RelayContext;
import org.ragworttide.gateway.relay.RetryBudgets;
import org.ragworttide.gateway.relay.SoleVersionLookup;
import org.ragworttide.gateway.relay.Telemetry;
import org.ragworttide.gateway.relay.UpstreamPaths;
import org.ragworttide.gateway.relay.ZoneTraffic;
import org.ragworttide.gateway.relay.ZoneWatch;
import org.ragworttide.gateway.tunnel.TunnelServer;
import org.ragworttide.gateway.upstream.Upstream;
import org.ragworttide.gateway.upstream.UpstreamConnector;
import org.ragworttide.gateway.view.FleetView;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/**
 * The gateway of one VM, which relays requests of callers to upstreams.
 *
 * <p>Invariant: all its state is confined to its one event loop; {@link #stop} may be called by any
 * thread.
 */
public final class Gateway {
  /** Milliseconds between checks for idle connections; idle timeouts are many seconds. */
  private static final long IDLE_CHECK_MILLIS = 500;

  /**
   * Milliseconds between checks of the fleet's size, which determines a VM's part of the retry
   * slack.
   */
  private static final long FLEET_SIZE_CHECK_MILLIS = 1_000;

  /**
   * Milliseconds for which a connection must be idle before a stop closes it: the time in which a
   * request that is in transit arrives.
   */
  private static final long STOP_IDLE_MILLIS = 300;

  /**
   * Milliseconds within which the first configuration is expected: the time to connect to the store
   * and read it on a JVM that has just started.
   */
  private static final long FIRST_CONFIGURATION_MILLIS = 1_500;

  /**
   * Longest time for which the start of the readiness endpoint waits for a configuration: the
   * period of a health check.
   */
  private static final long MAX_READINESS_DELAY_MILLIS = 1_000;

  private static final long STOP_CHECK_MILLIS = 20;

  private final GatewaySettings settings;
  private final EventLoop loop;
  private final LoopResources loops;
  private final TimerService time;
  private final FleetView view = new FleetView();
  private final StopAdmission stopAdmission;
  private final CallerConnections connections;
  private final RelayContext context;
  private final ChangeFeed feed;
  private final TunnelServer tunnels;

  /**
   * Creates a gateway that is not listening yet.
   *
   * @param settings this VM, its addresses and limits
   * @param headerCodec translates the metadata of requests and responses
   * @param rules by which the store's items are compared after its return from a copy
   * @param loops provides the event loop
   */
  public Gateway(
      GatewaySettings settings, HeaderCodec headerCodec, ItemRules rules, LoopResources loops) {
    this.settings = settings;
    this.loops = loops;
    this.loop = loops.onClient(true).next();
    this.time = new LoopTimer(loop);
    FeedMember self =
        new FeedMember(
            FeedAddress.number(settings.peers()), FeedMember.zoneKey(settings.zone().value()));
    this.feed = new ChangeFeed(self, settings.seeds(), rules, time);
    this.stopAdmission = new StopAdmission(settings.graceMillis());
    this.connections = new CallerConnections(stopAdmission);
    Telemetry telemetry = new Telemetry(new MetricRegistry(), time);
    UpstreamConnector connector =
        new UpstreamConnector(
            loop,
            loops.onChannelClass(SocketChannel.class, loop),
            settings.peers().getAddress(),
            headerCodec,
            telemetry,
            time::nowMillis);
    ZoneWatch zones =
        new ZoneWatch(view, connector, telemetry.metrics(), settings.zones().mayBeLost() > 0);
    ZoneTraffic traffic = new ZoneTraffic(settings.zone(), settings.zones(), telemetry.metrics());
    TunnelPeers tunnelPeers = new TunnelPeers(FeedMember.zoneKey(settings.zone().value()));
    CarriedPauses pauses = new CarriedPauses(view, time);
    UpstreamPaths paths =
        new UpstreamPaths(view, connector, zones, tunnelPeers, pauses, telemetry, time);
    this.tunnels =
        new TunnelServer(
            connector.bootstrap(), paths, this::tunnelTarget, stopAdmission::isStopping, telemetry);
    feed.setOtherConnections(tunnels);
    Placement placement = new Placement(view, paths, traffic, settings.zone());
    this.context =
        new RelayContext(
            loop,
            time,
            view,
            headerCodec,
            paths,
            placement,
            stopAdmission,
            zones,
            traffic,
            new CrashCheck(view, connector, placement, zones, time),
            new StreamDirectory(settings.peers(), settings.seeds(), time),
            new SoleVersionLookup(view.versions(), feed, time),
            new ColdStarts(settings.peers(), view, time),
            new BrittleUpstreams(settings.peers(), view, time),
            new RetryBudgets(settings.retryRatio(), settings.retrySlack()),
            telemetry,
            new SplittableRandom(),
            time.nowMillis() + FIRST_CONFIGURATION_MILLIS);
  }

  /** Returns an upstream that the VM reaches and that wants requests from it. */
  private Optional<Upstream> tunnelTarget(int incarnationKey) {
    return view.upstream(incarnationKey)
        .filter(it -> !view.evacuatedZones().contains(it.entry().zone()))
        .filter(it -> !context.zones().unreachable().contains(it.entry().zone()))
        .filter(it -> it.load().availability().admitsAsLastResort(time.nowMillis()));
  }

  /** Returns the VM's view of the fleet, for use on the event loop. */
  public FleetView view() {
    return view;
  }

  /** Returns the changes of the store, for use on the event loop. */
  public ChangeFeed feed() {
    return feed;
  }

  /** Returns the clock and timers of the event loop. */
  public TimerService time() {
    return time;
  }

  /** Returns the event loop, to which the view is confined. */
  public ScheduledExecutorService executor() {
    return loop;
  }

  /** Starts accepting callers, whose requests wait until the first configuration has been read. */
  public void start() {
    Class<? extends ServerChannel> type = loops.onChannelClass(ServerSocketChannel.class, loop);
    CallerServer.bind(loop, type, settings.callers(), context, connections).syncUninterruptibly();
  }

  /**
   * Starts the services that no caller depends on: the exchange of statements with peers, readiness
   * and metrics. Callers whose connections are waiting after a restart are served first, so this
   * method waits for the configuration for a limited time. It must not be called on the event loop.
   */
  public void startAuxiliaryServices() throws InterruptedException {
    view.awaitConfiguration(MAX_READINESS_DELAY_MILLIS);
    feed.start(
        loop,
        loops.onChannelClass(ServerSocketChannel.class, loop),
        loops.onChannelClass(SocketChannel.class, loop),
        settings.peers());
    context.zones().start(time);
    context.traffic().start(time);
    new PeerExchange(settings, view, feed, context, time)
        .start(loop, loops.onChannelClass(DatagramChannel.class, loop));
    serveReadiness();
    settings.metrics().ifPresent(this::serveMetrics);
    time.every(
        FLEET_SIZE_CHECK_MILLIS, () -> context.retries().setFleetSize(view.peers().fleetSize()));
    time.every(
        IDLE_CHECK_MILLIS,
        () -> connections.closeIdle(time.nowMillis(), view.limits().idleTimeoutMillis()));
  }

  private void serveReadiness() {
    HttpServer.create()
        .runOn(loops)
        .bindAddress(settings::readiness)
        .handle((request, response) -> response.status(isReady() ? 200 : 503).send())
        .bindNow();
  }

  private void serveMetrics(InetSocketAddress address) {
    MetricRegistry metrics = context.telemetry().metrics();
    HttpServer.create()
        .runOn(loops)
        .bindAddress(() -> address)
        .handle((request, response) -> response.sendString(Mono.just(MetricsText.of(metrics))))
        .bindNow();
  }

  private boolean isReady() {
    return view.configuration().isPresent() && !stopAdmission.isStopping();
  }

  /**
   * Stops the gateway: reports to the platform that the VM is not ready, refuses requests that
   * might outlast the grace period, answers the others, then closes connections.
   *
   * @param stopped called, possibly several times, when all answers have been sent or the grace
   *     period, less the time to exit, has passed
   */
  public void stop(Runnable stopped) {
    long stopStartedAtMillis = time.nowMillis();
    loop.execute(
        () -> {
          EventLog.log(LogEvent.DRAINING, "signal");
          stopAdmission.begin(stopStartedAtMillis);
          time.every(STOP_CHECK_MILLIS, () -> stopStep(stopped));
        });
  }

  private void stopStep(Runnable stopped) {
    long nowMillis = time.nowMillis();
    if (stopAdmission.closesIdleConnections(nowMillis)) {
      connections.closeUnused(nowMillis, STOP_IDLE_MILLIS);
    }
    if (stopAdmission.areFinalAnswersDue(nowMillis)) {
      connections.endRequests();
    }
    if (stopAdmission.isExitDue(nowMillis, connections.areAnyOpen() || tunnels.areAnyOpen())) {
      connections.logUnfinished();
      stopped.run();
    }
  }
}
