package org.ragworttide.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.daemon.metrics.MetricsText;
import org.ragworttide.gateway.caller.CallerConnections;
import org.ragworttide.gateway.caller.CallerServer;
import org.ragworttide.gateway.peer.PeerExchange;
import org.ragworttide.gateway.relay.Placement;
import org.ragworttide.gateway.relay.RelayContext;
import org.ragworttide.gateway.relay.RetryAllowances;
import org.ragworttide.gateway.relay.Telemetry;
import org.ragworttide.gateway.upstream.UpstreamConnector;
import org.ragworttide.gateway.view.FleetView;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/**
 * A VM's gateway between callers and upstreams.
 *
 * <p>Invariant: all its state is used on its one event loop; {@link #stop} may be called by any
 * thread.
 */
public final class Gateway {
  /** Milliseconds between looks at idle connections: idle limits are many seconds. */
  private static final long IDLE_CHECK_MILLIS = 500;

  /** Milliseconds between looks at the fleet's size, which sets a VM's part of the slack. */
  private static final long FLEET_CHECK_MILLIS = 1_000;

  /** Milliseconds after a stop for which new connections may come: two missed health checks. */
  private static final long STILL_ARRIVING_MILLIS = 2_000;

  /** Milliseconds after a stop from which requests are refused: those before may use the grace. */
  private static final long REFUSING_MILLIS = 2_700;

  /** Milliseconds that a connection must be idle to be closed by a stop: a request in flight. */
  private static final long STOP_IDLE_MILLIS = 300;

  /** Milliseconds for the first configuration: a connection and a read of the store, cold. */
  private static final long FIRST_READ_MILLIS = 1_500;

  /** Milliseconds for which readiness waits for a configuration: one health check's period. */
  private static final long ANCILLARY_DELAY_MILLIS = 1_000;

  /** Milliseconds left for the process to end. */
  private static final long EXIT_MILLIS = 500;

  private static final long STOP_CHECK_MILLIS = 50;

  private final GatewaySettings settings;
  private final EventLoop loop;
  private final LoopResources loops;
  private final TimerService time;
  private final FleetView view = new FleetView();
  private final CallerConnections connections = new CallerConnections();
  private final RelayContext context;

  /** Creates a gateway that does not listen yet. */
  public Gateway(GatewaySettings settings, Dialect dialect, LoopResources loops) {
    this.settings = settings;
    this.loops = loops;
    this.loop = loops.onClient(true).next();
    this.time = new LoopTimer(loop);
    UpstreamConnector connector =
        new UpstreamConnector(
            loop, loops.onChannelClass(SocketChannel.class, loop), dialect, time::nowMillis);
    this.context =
        new RelayContext(
            loop,
            time,
            view,
            dialect,
            connector,
            new Placement(view, settings.zone()),
            new RetryAllowances(settings.retryRatio(), settings.retrySlack()),
            new Telemetry(new MetricRegistry(), time),
            new SplittableRandom(),
            time.nowMillis() + FIRST_READ_MILLIS);
  }

  /** Returns what the VM believes, for use on the event loop. */
  public FleetView view() {
    return view;
  }

  /** Returns the gateway's time. */
  public TimerService time() {
    return time;
  }

  /** Returns the event loop, on which the view is used. */
  public ScheduledExecutorService executor() {
    return loop;
  }

  /** Starts to take callers, who wait until the first configuration is read. */
  public void start() {
    Class<? extends ServerChannel> type = loops.onChannelClass(ServerSocketChannel.class, loop);
    CallerServer.bind(loop, type, settings.callers(), context, connections).syncUninterruptibly();
  }

  /**
   * Starts what a caller does not wait for: statements between VMs, readiness and metrics. Callers
   * whose connections wait after a restart are served first, so this waits for the configuration,
   * for a bounded time; it must not be called on the event loop.
   */
  public void startAncillary() throws InterruptedException {
    view.awaitConfiguration(ANCILLARY_DELAY_MILLIS);
    new PeerExchange(settings.vm(), settings.peers(), settings.seeds(), view, time)
        .start(loop, loops.onChannelClass(DatagramChannel.class, loop));
    serveReadiness();
    settings.metrics().ifPresent(this::serveMetrics);
    time.every(FLEET_CHECK_MILLIS, () -> context.retries().fleetSize(view.peers().fleetSize()));
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
    return view.configuration().isPresent() && !connections.isDraining();
  }

  /**
   * Stops: the platform is told first, running requests are answered, then connections are closed.
   *
   * @param stopped called once everything taken is answered or the time is up
   */
  public void stop(Runnable stopped) {
    loop.execute(
        () -> {
          EventLog.log(LogEvent.DRAINING, "signal");
          connections.drain();
          long startedAt = time.nowMillis();
          time.every(STOP_CHECK_MILLIS, () -> stopStep(startedAt, stopped));
        });
  }

  private void stopStep(long startedAtMillis, Runnable stopped) {
    long now = time.nowMillis();
    long since = now - startedAtMillis;
    if (since >= STILL_ARRIVING_MILLIS) {
      connections.closeIdle(now, STOP_IDLE_MILLIS);
    }
    if (since >= REFUSING_MILLIS) {
      connections.refuse();
    }
    boolean answered = since >= REFUSING_MILLIS && connections.isQuiet();
    if (answered || since >= settings.graceMillis() - EXIT_MILLIS) {
      stopped.run();
    }
  }
}
