package org.ragworttide.gateway.relay;

import io.netty.channel.ChannelFuture;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.coordination.zones.TunnelPeers;
import org.ragworttide.gateway.feed.FeedAddress;
import org.ragworttide.gateway.peer.CarriedPauses;
import org.ragworttide.gateway.upstream.ConnectFailure;
import org.ragworttide.gateway.upstream.Upstream;
import org.ragworttide.gateway.upstream.UpstreamConnection;
import org.ragworttide.gateway.upstream.UpstreamConnector;
import org.ragworttide.gateway.view.FleetView;

/**
 * Connects to upstreams: on the VM's own way, or through another VM if that way is cut.
 *
 * <p>Invariants: a connection to an upstream of a zone that the VM cannot reach is opened only
 * through another VM, apart from the zone's checks. Confined to the event loop.
 */
public final class UpstreamPaths {
  /** Milliseconds after which a connection that is not open makes its zone suspect. */
  private static final long SLOW_CONNECT_MILLIS = 100;

  /**
   * Milliseconds for which other VMs are not asked again for a single upstream that they did not
   * reach either: its process has ended.
   */
  private static final long DOWN_MILLIS = 1_000;

  private final FleetView view;
  private final UpstreamConnector connector;
  private final ZoneWatch zones;
  private final TunnelPeers peers;
  private final CarriedPauses pauses;
  private final Telemetry telemetry;
  private final TimerService time;
  private final Set<Connecting> connecting = new LinkedHashSet<>();
  private final Map<ZoneId, Set<Runnable>> lossListeners = new HashMap<>();
  private final Map<Integer, Long> downUntilMillis = new HashMap<>();

  /** A connection that is being opened on the VM's own way. Confined to the event loop. */
  public final class Connecting {
    private final Upstream upstream;
    private final Runnable zoneLost;
    private final TimerService.Subscription slowTimer;
    private boolean givenUp;

    private Connecting(Upstream upstream, Runnable zoneLost) {
      this.upstream = upstream;
      this.zoneLost = zoneLost;
      this.slowTimer = time.after(SLOW_CONNECT_MILLIS, () -> zones.recordSlow(upstream));
    }

    /** Records that the connection is open; returns whether it is still wanted. */
    public boolean opened() {
      end();
      zones.recordContact(upstream);
      return !givenUp;
    }

    /** Records that the connection could not be opened; returns whether it was still wanted. */
    public boolean failed() {
      end();
      return !givenUp;
    }

    private void giveUp() {
      if (!givenUp) {
        givenUp = true;
        zoneLost.run();
      }
    }

    private void end() {
      slowTimer.cancel();
      connecting.remove(this);
    }
  }

  /**
   * Creates the ways of a VM.
   *
   * @param view the VM's view of the fleet
   * @param connector opens connections
   * @param zones the zones that the VM cannot reach
   * @param peers the VMs that may reach them
   * @param pauses tells VMs the pauses that they have carried
   * @param telemetry logs tunnels and counts them
   * @param time the clock and timers of the event loop
   */
  public UpstreamPaths(
      FleetView view,
      UpstreamConnector connector,
      ZoneWatch zones,
      TunnelPeers peers,
      CarriedPauses pauses,
      Telemetry telemetry,
      TimerService time) {
    this.view = view;
    this.connector = connector;
    this.zones = zones;
    this.peers = peers;
    this.pauses = pauses;
    this.telemetry = telemetry;
    this.time = time;
    zones.onLoss(this::handleLoss);
  }

  /** Returns the VMs through which upstreams can be reached. */
  public TunnelPeers peers() {
    return peers;
  }

  /** Returns the exchange of the pauses that VMs have carried. */
  public CarriedPauses pauses() {
    return pauses;
  }

  /**
   * Returns the upstreams in zones that the VM reaches; if there is none, those in zones that
   * another VM reaches.
   */
  List<Upstream> reachable(List<Upstream> upstreams) {
    Set<ZoneId> unreachable = zones.unreachable();
    if (unreachable.isEmpty()) {
      return upstreams;
    }
    List<Upstream> reachable = filter(upstreams, zone -> !unreachable.contains(zone));
    return reachable.isEmpty() ? filter(upstreams, this::isReachedByPeer) : reachable;
  }

  private static List<Upstream> filter(List<Upstream> upstreams, Predicate<ZoneId> zones) {
    return upstreams.stream().filter(it -> zones.test(it.entry().zone())).toList();
  }

  private boolean isReachedByPeer(ZoneId zone) {
    return peers.reaches(zoneKey(zone), time.nowMillis());
  }

  /**
   * Passes an idle or new connection to {@code opened}, or the reason of a failure to {@code
   * failed}.
   *
   * @param requestId the id of the caller's request
   */
  void connect(
      Upstream upstream,
      String requestId,
      Consumer<UpstreamConnection> opened,
      Consumer<ConnectFailure> failed) {
    ZoneId zone = upstream.entry().zone();
    Optional<UpstreamConnection> idle =
        zones.isSilent(zone) ? Optional.empty() : connector.takeIdle(upstream);
    if (idle.isPresent()) {
      opened.accept(idle.get());
    } else if (zones.isUnreachable(zone)) {
      connectThroughPeer(upstream, requestId, opened, failed);
    } else {
      connectDirectly(upstream, opened, failed);
    }
  }

  private void connectDirectly(
      Upstream upstream, Consumer<UpstreamConnection> opened, Consumer<ConnectFailure> failed) {
    ConnectFailure zoneLost =
        new ConnectFailure("zone cannot be reached", ConnectFailure.Kind.SILENT, false);
    Connecting attempt = beginConnecting(upstream, () -> failed.accept(zoneLost));
    connector.open(
        upstream,
        connection -> {
          if (attempt.opened()) {
            opened.accept(connection);
          } else {
            connection.keepIdle();
          }
        },
        failure -> {
          if (attempt.failed()) {
            failed.accept(failure);
          }
        });
  }

  /**
   * Records that a connection to the upstream is being opened on the VM's own way.
   *
   * @param zoneLost called when the zone of the upstream cannot be reached: the connection is not
   *     wanted any more
   */
  public Connecting beginConnecting(Upstream upstream, Runnable zoneLost) {
    Connecting begun = new Connecting(upstream, zoneLost);
    connecting.add(begun);
    return begun;
  }

  /** Records that a connection to an upstream could not be opened for another VM. */
  public void recordFailure(Upstream upstream, ConnectFailure failure) {
    zones.recordFailure(upstream, failure);
  }

  /**
   * Finds out whether a refused connection tells of the upstream, because the VM still reaches
   * others of its zone.
   */
  public void confirmRefusal(Upstream upstream, Consumer<Boolean> confirmed) {
    zones.confirmContact(upstream, confirmed);
  }

  /**
   * Returns whether another VM may reach an upstream to which this VM could not open a connection.
   */
  boolean mayReachThroughPeer(Upstream upstream) {
    long now = time.nowMillis();
    return !upstream.isRemoved()
        && now >= downUntilMillis.getOrDefault(upstream.incarnationKey(), now)
        && isReachedByPeer(upstream.entry().zone());
  }

  /** Connects to the upstream as {@link #connect} does, but only through another VM. */
  void connectThroughPeer(
      Upstream upstream,
      String requestId,
      Consumer<UpstreamConnection> opened,
      Consumer<ConnectFailure> failed) {
    long now = time.nowMillis();
    Optional<Long> peer =
        peers.choose(zoneKey(upstream.entry().zone()), Rendezvous.hash(requestId), now);
    if (peer.isEmpty()) {
      failed.accept(
          new ConnectFailure("no VM reaches the zone", ConnectFailure.Kind.NOT_TRIED, true));
      return;
    }
    long vm = peer.get();
    peers.recordOpening(vm);
    ChannelFuture closed =
        connector.openThrough(
            FeedAddress.address(vm),
            upstream,
            requestId,
            millis -> pauses.tell(FeedAddress.address(vm), upstream.incarnationKey(), millis),
            connection -> {
              peers.recordOpened(vm, time.nowMillis());
              telemetry.recordTunnelOpened(
                  requestId, upstream.entry().id(), FeedAddress.address(vm));
              opened.accept(connection);
            },
            failure -> {
              recordTunnelFailure(vm, upstream, now, failure);
              failed.accept(failure);
            });
    closed.addListener(done -> peers.recordClosed(vm));
  }

  private void recordTunnelFailure(
      long vm, Upstream upstream, long askedAtMillis, ConnectFailure failure) {
    long now = time.nowMillis();
    if (failure.kind() == ConnectFailure.Kind.NOT_TRIED) {
      peers.recordFailure(vm, askedAtMillis, now);
    } else if (failure.isVerdictOnUpstream()) {
      downUntilMillis.values().removeIf(until -> until <= now);
      downUntilMillis.put(upstream.incarnationKey(), now + DOWN_MILLIS);
    }
  }

  /**
   * Adds a listener that is called when the zone of the upstream falls silent: open connections to
   * it no longer carry anything.
   *
   * @return the subscription, which ends with its cancellation
   */
  TimerService.Subscription onSilence(Upstream upstream, Runnable listener) {
    Set<Runnable> listeners =
        lossListeners.computeIfAbsent(upstream.entry().zone(), key -> new HashSet<>());
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  private void handleLoss(ZoneId zone) {
    connecting.stream()
        .filter(it -> it.upstream.entry().zone().equals(zone))
        .toList()
        .forEach(Connecting::giveUp);
    if (zones.isSilent(zone)) {
      view.upstreams().stream()
          .filter(it -> it.entry().zone().equals(zone))
          .forEach(Upstream::closeIdle);
      new ArrayList<>(lossListeners.getOrDefault(zone, Set.of())).forEach(Runnable::run);
    }
  }

  private static int zoneKey(ZoneId zone) {
    return FeedMember.zoneKey(zone.value());
  }
}
