package org.ragworttide.gateway.relay;

import java.util.HashSet;
import java.util.Set;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.upstream.ConnectFailure;
import org.ragworttide.gateway.upstream.Upstream;
import org.ragworttide.gateway.upstream.UpstreamConnector;
import org.ragworttide.gateway.view.FleetView;

/**
 * Finds out by a connection whether an upstream that broke off an answer has crashed. Without it, a
 * VM would learn of the crash only when a later request is refused a connection or when the store
 * removes the entry, seconds later.
 *
 * <p>Invariant: at most one check of an upstream runs at a time. Confined to the event loop.
 */
public final class CrashCheck {
  private final FleetView view;
  private final UpstreamConnector connector;
  private final Placement placement;
  private final ZoneWatch zones;
  private final TimerService time;
  private final Set<Upstream> running = new HashSet<>();

  /** Creates a check without any running. */
  public CrashCheck(
      FleetView view,
      UpstreamConnector connector,
      Placement placement,
      ZoneWatch zones,
      TimerService time) {
    this.view = view;
    this.connector = connector;
    this.placement = placement;
    this.zones = zones;
    this.time = time;
  }

  /** Starts a check of the upstream unless one is running. */
  void start(ServiceName service, Upstream upstream) {
    if (running.add(upstream)) {
      connector.check(
          upstream, () -> listens(upstream), failure -> failed(service, upstream, failure));
    }
  }

  private void listens(Upstream upstream) {
    running.remove(upstream);
    view.crashes().recordUpstreamAlive(upstream.incarnationKey());
  }

  private void failed(ServiceName service, Upstream upstream, ConnectFailure failure) {
    running.remove(upstream);
    recordFailure(service, upstream, failure);
  }

  /**
   * Records that a connection to the upstream could not be opened. Only a refused one shows that
   * its process is gone, and only while other upstreams of its zone are reached: a VM that is cut
   * off from an upstream sees the same as one whose upstream has crashed.
   */
  void recordFailure(ServiceName service, Upstream upstream, ConnectFailure failure) {
    long nowMillis = time.nowMillis();
    if (!failure.tunnelled()) {
      zones.recordFailure(upstream, failure);
    }
    if (!failure.isVerdictOnUpstream()
        || !failure.tunnelled() && zones.isUnreachable(upstream.entry().zone())) {
      return;
    }
    placement.outlierDetector(service).recordUnreachable(upstream.entry().id(), nowMillis);
    view.recordUnreachable(upstream);
    if (failure.refused() && failure.tunnelled()) {
      view.recordCrash(upstream, nowMillis);
    } else if (failure.refused() && view.crashes().hasBrokenAnswers(upstream.incarnationKey())) {
      zones.confirmContact(
          upstream,
          reached -> {
            if (reached) {
              view.recordCrash(upstream, nowMillis);
            }
          });
    }
  }
}
