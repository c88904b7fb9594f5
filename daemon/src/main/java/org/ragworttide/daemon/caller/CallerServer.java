package org.ragworttide.daemon.caller;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Supplier;
import org.ragworttide.daemon.relay.Relay;
import org.ragworttide.document.ConfigurationDocument;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * The listener towards callers.
 *
 * <p>Safe for use by any thread.
 */
public final class CallerServer {
  private final RunningRequests running;
  private final IntakeCheck intake;
  private final DisposableServer server;

  private CallerServer(RunningRequests running, IntakeCheck intake, DisposableServer server) {
    this.running = running;
    this.intake = intake;
    this.server = server;
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
    RunningRequests running = new RunningRequests();
    IntakeCheck intake = new IntakeCheck(new ConfigurationIndexes(configuration));
    CallerHandler handler = new CallerHandler(intake, new BodyReader(settings), relay, running);
    return HttpServer.create()
        .host(settings.host())
        .port(settings.port())
        .idleTimeout(Duration.ofMillis(settings.idleMillis()))
        .httpRequestDecoder(
            decoder ->
                decoder
                    .maxInitialLineLength(settings.maxTargetBytes())
                    .maxHeaderSize(settings.maxHeaderBytes()))
        .handle(handler)
        .bind()
        .map(server -> new CallerServer(running, intake, server));
  }

  /** Returns the address listened on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.address();
  }

  /** Ends the requests whose keys the configuration no longer admits. */
  public void onConfiguration() {
    running.endWithdrawn(intake::stillAdmits);
  }

  /** Stops to listen. */
  public Mono<Void> close() {
    return Mono.fromRunnable(server::dispose).then(server.onDispose());
  }
}
