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
 * The HTTP path of a daemon: the callers' listener, the relay and the client towards upstreams.
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
   * Starts the path.
   *
   * @param settings limits and addresses
   * @param configuration the configuration in force, null as long as there is none
   * @param ports the decisions to ask for
   * @param registry takes the path's metrics
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

  /** Applies a change of configuration to the requests that run. */
  public void onConfiguration(ConfigurationDocument old, ConfigurationDocument current) {
    callers.onConfiguration();
  }

  /** Returns the client towards upstreams. */
  public UpstreamClient upstreams() {
    return upstreams;
  }

  /** Returns whether a drain has begun, so that the daemon isn't ready any more. */
  public boolean draining() {
    return callers.draining();
  }

  /** Finishes the running requests, then completes; new ones are served until balancers notice. */
  public Mono<Void> drain() {
    return callers.drain();
  }

  /** Stops to listen and closes the connections. */
  public Mono<Void> close() {
    tls.dispose();
    return callers.close().then(upstreams.close());
  }

  /**
   * Settings of the HTTP path.
   *
   * @param caller the listener towards callers
   * @param relay the relay's limits
   * @param upstream the client towards upstreams
   * @param tls which sides speak TLS
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

  /** The TLS of both sides. */
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
