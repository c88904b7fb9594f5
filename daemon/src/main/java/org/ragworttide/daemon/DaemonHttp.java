package org.ragworttide.daemon;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.util.Optional;
import java.util.function.Supplier;
import org.ragworttide.daemon.caller.CallerServer;
import org.ragworttide.daemon.caller.CallerSettings;
import org.ragworttide.daemon.metrics.PathMetrics;
import org.ragworttide.daemon.relay.Relay;
import org.ragworttide.daemon.relay.RelayPorts;
import org.ragworttide.daemon.relay.RelaySettings;
import org.ragworttide.daemon.tls.Tls;
import org.ragworttide.daemon.tls.TlsSettings;
import org.ragworttide.daemon.upstream.UpstreamClient;
import org.ragworttide.daemon.upstream.UpstreamSettings;
import org.ragworttide.document.ConfigurationDocument;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * The HTTP path of a daemon: the listener for callers, the relay and the client of the upstreams.
 *
 * <p>Safe for use by any thread.
 */
public final class DaemonHttp {
  private final CallerServer callers;
  private final UpstreamClient upstreams;
  private final Disposable tls;

  private DaemonHttp(CallerServer callers, UpstreamClient upstreams, Disposable tls) {
    this.callers = callers;
    this.upstreams = upstreams;
    this.tls = tls;
  }

  /**
   * Starts the HTTP path.
   *
   * @param settings limits and addresses
   * @param configuration the configuration in force, null while there is none
   * @param ports the ports that make admission and placement decisions
   * @param registry the registry for the metrics of the path
   */
  public static Mono<DaemonHttp> start(
      Settings settings,
      Supplier<ConfigurationDocument> configuration,
      RelayPorts ports,
      MetricRegistry registry) {
    return Mono.fromCallable(() -> Connections.load(settings.tls()))
        .flatMap(tls -> start(settings, configuration, ports, new PathMetrics(registry), tls));
  }

  private static Mono<DaemonHttp> start(
      Settings settings,
      Supplier<ConfigurationDocument> configuration,
      RelayPorts ports,
      PathMetrics metrics,
      Connections tls) {
    UpstreamClient upstreams =
        new UpstreamClient(settings.upstream(), tls.upstreams().map(Tls::context));
    Relay relay = new Relay(ports, settings.relay(), upstreams, metrics);
    return CallerServer.start(
            settings.caller(), configuration, relay, metrics, tls.callers().map(Tls::context))
        .map(callers -> new DaemonHttp(callers, upstreams, tls))
        .doOnError(unused -> tls.dispose());
  }

  /** Returns the address on which callers are served. */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /** Applies a configuration change to the running requests. */
  public void onConfiguration(ConfigurationDocument old, ConfigurationDocument current) {
    callers.endWithdrawnRequests();
  }

  /** Returns the client of the upstreams. */
  public UpstreamClient upstreams() {
    return upstreams;
  }

  /** Returns whether a drain has started, after which the daemon is no longer ready. */
  public boolean isDraining() {
    return callers.isDraining();
  }

  /**
   * Completes after the running requests have ended; new requests are served until load balancers
   * stop sending them.
   */
  public Mono<Void> drain() {
    return callers.drain();
  }

  /** Stops listening and closes the connections. */
  public Mono<Void> close() {
    tls.dispose();
    return callers.close().then(upstreams.close());
  }

  /**
   * Settings of the HTTP path.
   *
   * @param caller settings of the listener for callers
   * @param relay the relay's limits
   * @param upstream settings of the client of the upstreams
   * @param tls the sides that use TLS
   */
  public record Settings(
      CallerSettings caller, RelaySettings relay, UpstreamSettings upstream, TlsSettings tls) {

    /** Returns settings with default limits and without TLS. */
    public static Settings defaults(String host, int port) {
      return new Settings(
          CallerSettings.defaults(host, port),
          RelaySettings.defaults(),
          UpstreamSettings.defaults(),
          TlsSettings.plain());
    }
  }

  /** The TLS of the caller and upstream connections. */
  private record Connections(Optional<Tls> callers, Optional<Tls> upstreams) implements Disposable {

    static Connections load(TlsSettings settings) throws IOException, GeneralSecurityException {
      Tls callers = null;
      if (settings.callers().isPresent()) {
        callers = Tls.server(settings.callers().get(), settings.checkPeriod());
      }
      Tls upstreams = null;
      if (settings.upstreamAuthority().isPresent()) {
        upstreams = Tls.client(settings.upstreamAuthority().get(), settings.checkPeriod());
      }
      return new Connections(Optional.ofNullable(callers), Optional.ofNullable(upstreams));
    }

    @Override
    public void dispose() {
      callers.ifPresent(Tls::dispose);
      upstreams.ifPresent(Tls::dispose);
    }
  }
}
