package org.ragworttide.daemon.caller;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Supplier;
import org.ragworttide.daemon.relay.Relay;
import org.ragworttide.document.ConfigurationDocument;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
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
  private DisposableServer server;

  private CallerServer(
      CallerSettings settings, Supplier<ConfigurationDocument> configuration, Relay relay) {
    this.settings = settings;
    this.intake = new IntakeCheck(new ConfigurationIndexes(configuration));
    this.relay = relay;
  }

  /**
   * Starts to listen.
   *
   * @param settings the listener's settings
   * @param configuration the configuration in force, null as long as there is none
   * @param relay what answers the requests
   */
  public static Mono<CallerServer> start(
      CallerSettings settings, Supplier<ConfigurationDocument> configuration, Relay relay) {
    return Mono.defer(() -> new CallerServer(settings, configuration, relay).bind());
  }

  private Mono<CallerServer> bind() {
    BodyReader bodies = new BodyReader(settings);
    return HttpServer.create()
        .host(settings.host())
        .port(settings.port())
        .channelGroup(connections)
        .idleTimeout(Duration.ofMillis(settings.idleMillis()))
        .httpRequestDecoder(this::limits)
        .doOnChannelInit((observer, channel, remote) -> addHandlers(channel))
        .handle(new CallerHandler(intake, bodies, relay, running, drain))
        .bind()
        .map(
            bound -> {
              server = bound;
              return this;
            });
  }

  private HttpRequestDecoderSpec limits(HttpRequestDecoderSpec decoder) {
    return decoder
        .maxInitialLineLength(settings.maxTargetBytes())
        .maxHeaderSize(settings.maxHeaderBytes());
  }

  private static void addHandlers(Channel channel) {
    channel
        .pipeline()
        .addBefore(NettyPipeline.HttpTrafficHandler, "decodingRefusal", new DecodingRefusal());
  }

  /** Returns the address listened on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.address();
  }

  /** Ends the requests whose keys the configuration no longer admits. */
  public void onConfiguration() {
    running.endWithdrawn(intake::stillAdmits);
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
        .then(Mono.defer(() -> drain.requests().idle()))
        .then(Mono.defer(() -> relay.claimedRuns().idle()));
  }

  /** Stops to listen and closes all connections. */
  public Mono<Void> close() {
    return Mono.fromRunnable(server::dispose)
        .then(Mono.defer(server::onDispose))
        .then(Mono.fromRunnable(connections::close));
  }
}
