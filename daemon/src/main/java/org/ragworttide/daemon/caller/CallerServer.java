package org.ragworttide.daemon.caller;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.daemon.metrics.PathMetrics;
import org.ragworttide.daemon.relay.Relay;
import org.ragworttide.document.ConfigurationDocument;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpRequestDecoderSpec;
import reactor.netty.http.server.HttpServer;

/**
 * The listener towards callers.
 *
 * <p>Safe for use by any thread.
 */
public final class CallerServer {
  private final RunningRequests running = new RunningRequests();
  private final Drain drain = new Drain();
  private final ChannelGroup connections = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);
  private final CallerSettings settings;
  private final IntakeCheck intake;
  private final Relay relay;
  private final PathMetrics metrics;
  private final Optional<SslContext> tls;
  private DisposableServer server;

  private CallerServer(
      CallerSettings settings,
      Supplier<ConfigurationDocument> configuration,
      Relay relay,
      PathMetrics metrics,
      Optional<SslContext> tls) {
    this.tls = tls;
    this.settings = settings;
    this.intake = new IntakeCheck(new ConfigurationIndexes(configuration));
    this.relay = relay;
    this.metrics = metrics;
    metrics.gauge("running_requests", drain.requests()::count);
    metrics.gauge("claimed_runs", relay.claimedRuns()::count);
  }

  /**
   * Starts to listen.
   *
   * @param settings the listener's settings
   * @param configuration the configuration in force, null as long as there is none
   * @param relay what answers the requests
   * @param metrics counts refusals and running requests
   * @param tls how the listener proves who it is, empty for plain connections
   */
  public static Mono<CallerServer> start(
      CallerSettings settings,
      Supplier<ConfigurationDocument> configuration,
      Relay relay,
      PathMetrics metrics,
      Optional<SslContext> tls) {
    return Mono.defer(() -> new CallerServer(settings, configuration, relay, metrics, tls).bind());
  }

  private Mono<CallerServer> bind() {
    BodyReader bodies = new BodyReader(settings);
    return secured(HttpServer.create())
        .host(settings.host())
        .port(settings.port())
        .channelGroup(connections)
        .idleTimeout(Duration.ofMillis(settings.idleMillis()))
        .httpRequestDecoder(this::limits)
        .doOnChannelInit(
            (observer, channel, remote) ->
                DecodingRefusal.addTo(channel.pipeline(), settings.receiveTimeoutMillis()))
        .handle(new CallerHandler(intake, bodies, relay, running, drain, metrics))
        .bind()
        .map(
            bound -> {
              server = bound;
              return this;
            });
  }

  private HttpServer secured(HttpServer plain) {
    return tls.map(context -> plain.secure(spec -> spec.sslContext(context))).orElse(plain);
  }

  private HttpRequestDecoderSpec limits(HttpRequestDecoderSpec decoder) {
    return decoder
        .maxInitialLineLength(settings.maxTargetBytes())
        .maxHeaderSize(settings.maxHeaderBytes());
  }

  /** Returns the address listened on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.address();
  }

  /** Ends the requests whose keys the configuration no longer admits. */
  public void onConfiguration() {
    int ended = running.endWithdrawn(intake::stillAdmits);
    if (ended > 0) {
      EventLog.log(LogEvent.REQUESTS_WITHDRAWN, ended);
    }
  }

  /** Returns whether a drain has begun. */
  public boolean draining() {
    return drain.begun();
  }

  /** Returns the requests that are being served. */
  public int runningRequests() {
    return drain.requests().count();
  }

  /**
   * Serves what is running and what still arrives while balancers notice, then completes.
   *
   * <p>From the start of the drain every answer closes its connection.
   */
  public Mono<Void> drain() {
    return Mono.fromRunnable(drain::begin)
        .then(Mono.delay(Duration.ofMillis(settings.drainNoticeMillis())))
        .then(Mono.fromRunnable(server::dispose))
        .then(Mono.defer(server::onDispose))
        .then(Mono.defer(() -> drain.requests().whenIdle()))
        .then(Mono.defer(() -> relay.claimedRuns().whenIdle()));
  }

  /** Stops to listen and closes all connections. */
  public Mono<Void> close() {
    return Mono.fromRunnable(server::dispose)
        .then(Mono.defer(server::onDispose))
        .then(Mono.fromRunnable(connections::close));
  }
}
