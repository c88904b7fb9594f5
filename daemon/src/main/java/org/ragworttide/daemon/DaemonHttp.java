package org.ragworttide.daemon;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.ragworttide.daemon.caller.CallerServer;
import org.ragworttide.daemon.caller.CallerSettings;
import org.ragworttide.daemon.metrics.PathMetrics;
import org.ragworttide.daemon.relay.Relay;
import org.ragworttide.daemon.relay.RelayPorts;
import org.ragworttide.daemon.relay.RelaySettings;
import org.ragworttide.daemon.upstream.UpstreamClient;
import org.ragworttide.daemon.upstream.UpstreamSettings;
import org.ragworttide.document.ConfigurationDocument;
import reactor.core.publisher.Mono;

/**
 * The HTTP path of a daemon: the callers' listener, the relay and the client towards upstreams.
 *
 * <p>Safe for use by any thread.
 */
public final class DaemonHttp {
  private final CallerServer callers;
  private final UpstreamClient upstreams;

  private DaemonHttp(CallerServer callers, UpstreamClient upstreams) {
    this.callers = callers;
    this.upstreams = upstreams;
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
    PathMetrics metrics = new PathMetrics(registry);
    UpstreamClient upstreams = new UpstreamClient(settings.upstream());
    Relay relay = new Relay(ports, settings.relay(), upstreams, metrics);
    return CallerServer.start(settings.caller(), configuration, relay, metrics)
        .map(callers -> new DaemonHttp(callers, upstreams));
  }

  /** Returns the address on which callers are served. */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /** Applies a change of configuration to the requests that run. */
  public void onConfiguration(ConfigurationDocument old, ConfigurationDocument current) {
    callers.onConfiguration();
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
    return callers.close().then(upstreams.close());
  }

  /**
   * Settings of the HTTP path.
   *
   * @param caller the listener towards callers
   * @param relay the relay's limits
   * @param upstream the client towards upstreams
   */
  public record Settings(CallerSettings caller, RelaySettings relay, UpstreamSettings upstream) {

    /** Returns settings with default limits. */
    public static Settings defaults(String host, int port) {
      return new Settings(
          CallerSettings.defaults(host, port),
          RelaySettings.defaults(),
          UpstreamSettings.defaults());
    }
  }
}
