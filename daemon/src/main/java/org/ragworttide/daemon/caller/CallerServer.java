package org.ragworttide.daemon.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
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
 * HTTP server that accepts requests of callers.
 *
 * <p>Safe for use by any thread.
 */
public final class CallerServer {
  /** Longest time for which a closed server sends what has been written; callers may not read. */
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(2);

  private final RunningRequests running = new RunningRequests();
  private final DrainState drain = new DrainState();
  private final ChannelGroup connections = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);
  private final CallerSettings settings;
  private final RequestHeadValidator headValidator;
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
    this.headValidator = new RequestHeadValidator(new ConfigurationIndexCache(configuration));
    this.relay = relay;
    this.metrics = metrics;
    metrics.gauge("running_requests", drain.requests()::count);
    metrics.gauge("claimed_runs", relay.claimedRuns()::count);
  }

  /**
   * Starts the server.
   *
   * @param settings the settings of the listener
   * @param configuration the configuration in force, null until there is one
   * @param relay the relay that answers the requests
   * @param metrics the metrics that count refusals and running requests
   * @param tls the TLS context with the listener's certificate, empty for plain connections
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
    BodyReader bodyReader = new BodyReader(settings);
    return withTls(HttpServer.create())
        .host(settings.host())
        .port(settings.port())
        .channelGroup(connections)
        .idleTimeout(Duration.ofMillis(settings.idleMillis()))
        .httpRequestDecoder(this::withDecoderLimits)
        .doOnChannelInit(
            (observer, channel, remote) ->
                DecodingErrorHandler.addTo(channel.pipeline(), settings.receiveTimeoutMillis()))
        .handle(new CallerHandler(headValidator, bodyReader, relay, running, drain, metrics))
        .bind()
        .map(
            bound -> {
              server = bound;
              return this;
            });
  }

  private HttpServer withTls(HttpServer plain) {
    return tls.map(context -> plain.secure(spec -> spec.sslContext(context))).orElse(plain);
  }

  private HttpRequestDecoderSpec withDecoderLimits(HttpRequestDecoderSpec decoder) {
    return decoder
        .maxInitialLineLength(settings.maxTargetBytes())
        .maxHeaderSize(settings.maxHeaderBytes());
  }

  /** Returns the address on which the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.address();
  }

  /** Ends the requests whose keys the configuration no longer admits. */
  public void endWithdrawnRequests() {
    int ended = running.endWithdrawn(headValidator::stillAdmits);
    if (ended > 0) {
      EventLog.log(LogEvent.REQUESTS_WITHDRAWN, ended);
    }
  }

  /** Returns whether a drain has begun. */
  public boolean isDraining() {
    return drain.hasBegun();
  }

  /** Returns the number of requests in progress. */
  public int runningRequests() {
    return drain.requests().count();
  }

  /**
   * Drains the server: serves the running requests, and those that still arrive until load
   * balancers notice the drain, then completes.
   *
   * <p>From the start of the drain, every answer closes its connection.
   */
  public Mono<Void> drain() {
    return Mono.fromRunnable(drain::begin)
        .then(Mono.delay(Duration.ofMillis(settings.drainNoticeMillis())))
        .then(Mono.fromRunnable(server::dispose))
        .then(Mono.defer(server::onDispose))
        .then(Mono.defer(this::awaitLastRequest));
  }

  /** Completes when no request is in progress and none is accepted any more. */
  private Mono<Void> awaitLastRequest() {
    return drain
        .requests()
        .whenIdle()
        .then(Mono.defer(() -> relay.claimedRuns().whenIdle()))
        .then(
            Mono.defer(
                () ->
                    drain.requests().closeIfIdle()
                        ? relay.claimedRuns().whenIdle()
                        : awaitLastRequest()));
  }

  /** Stops listening and closes all connections, after what has been written to them is sent. */
  public Mono<Void> close() {
    return Mono.fromRunnable(server::dispose)
        .then(Mono.defer(server::onDispose))
        .then(Mono.fromRunnable(this::closeConnections));
  }

  private void closeConnections() {
    connections.forEach(
        connection ->
            connection
                .writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(ChannelFutureListener.CLOSE));
    Mono.delay(FLUSH_TIMEOUT).subscribe(unused -> connections.close());
  }
}
