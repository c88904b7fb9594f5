package org.ragworttide.gateway.relay;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.coordination.zones.ZoneReachability;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.upstream.ConnectFailure;
import org.ragworttide.gateway.upstream.Upstream;
import org.ragworttide.gateway.upstream.UpstreamConnector;
import org.ragworttide.gateway.view.FleetView;

/**
 * Finds out which availability zones the VM cannot reach, by opening connections to some of their
 * upstreams.
 *
 * <p>Invariant: if it is off, every zone counts as reachable and no connection is opened. Confined
 * to the event loop.
 */
public final class ZoneWatch {
  /** Milliseconds between looks at running checks; a check takes a hundred. */
  private static final long TICK_MILLIS = 50;

  private final FleetView view;
  private final UpstreamConnector connector;
  private final MetricRegistry metrics;
  private final boolean on;
  private final ZoneReachability zones = new ZoneReachability();
  private final Random random = new Random();
  private final List<Consumer<ZoneId>> lossListeners = new ArrayList<>();
  private final Map<ZoneId, List<Consumer<Boolean>>> awaitingContact = new HashMap<>();
  private LongSupplier clock = () -> 0;

  /**
   * Creates a watch.
   *
   * @param view the VM's view of the fleet
   * @param connector opens connections to upstreams
   * @param metrics receives the numbers of checks and of lost zones
   * @param on whether zones may be lost
   */
  public ZoneWatch(
      FleetView view, UpstreamConnector connector, MetricRegistry metrics, boolean on) {
    this.view = view;
    this.connector = connector;
    this.metrics = metrics;
    this.on = on;
  }

  /** Starts looking at the checks. */
  public void start(TimerService time) {
    clock = time::nowMillis;
    if (on) {
      time.every(TICK_MILLIS, () -> step(time.nowMillis()));
    }
  }

  /** Returns the zones that the VM cannot reach. */
  public Set<ZoneId> unreachable() {
    return zones.unreachable();
  }

  /** Returns whether the VM finds out which zones it cannot reach. */
  boolean isOn() {
    return on;
  }

  /** Returns whether the VM cannot reach the zone. */
  boolean isUnreachable(ZoneId zone) {
    return unreachable().contains(zone);
  }

  /** Returns whether the VM cannot reach the zone and no machine of it refuses connections. */
  boolean isSilent(ZoneId zone) {
    return zones.isSilent(zone);
  }

  /** Adds a listener that receives each zone that the VM cannot reach any more. */
  void onLoss(Consumer<ZoneId> listener) {
    lossListeners.add(listener);
  }

  /**
   * Finds out whether the VM still reaches the zone of an upstream that has refused a connection,
   * from the next connection that is opened to another upstream of the zone. Without another one,
   * or without checks, the zone counts as reached; one that is lost already does not.
   */
  void confirmContact(Upstream refusing, Consumer<Boolean> reached) {
    ZoneId zone = refusing.entry().zone();
    List<Upstream> others = upstreamsOf(zone);
    others.remove(refusing);
    if (!on || others.isEmpty()) {
      reached.accept(true);
      return;
    }
    if (isUnreachable(zone)) {
      reached.accept(false);
      return;
    }
    awaitingContact.computeIfAbsent(zone, key -> new ArrayList<>()).add(reached);
    check(others.getFirst());
  }

  /** Returns the keys of the zones that the VM cannot reach, for other VMs. */
  public List<Integer> unreachableKeys() {
    return unreachable().stream().map(zone -> FeedMember.zoneKey(zone.value())).toList();
  }

  /** Records that another VM of the own zone cannot reach the zone with the key. */
  public void recordPeerVerdict(int zoneKey) {
    if (!on) {
      return;
    }
    view.upstreams().stream()
        .map(upstream -> upstream.entry().zone())
        .filter(zone -> FeedMember.zoneKey(zone.value()) == zoneKey)
        .findFirst()
        .ifPresent(zone -> zones.recordPeerVerdict(zone, clock.getAsLong()));
  }

  /** Records that a connection to the upstream could not be opened. */
  void recordFailure(Upstream upstream, ConnectFailure failure) {
    ZoneId zone = upstream.entry().zone();
    if (!on) {
      return;
    }
    if (failure.refused()) {
      zones.recordRefusal(zone, upstream.entry().id());
    } else {
      zones.recordSuspicion(zone);
    }
  }

  /** Records that a connection to the upstream is not opened within the usual time. */
  void recordSlow(Upstream upstream) {
    if (on) {
      zones.recordSuspicion(upstream.entry().zone());
    }
  }

  /** Records that a connection to the upstream was opened. */
  void recordContact(Upstream upstream) {
    ZoneId zone = upstream.entry().zone();
    if (zones.recordContact(zone, clock.getAsLong())) {
      EventLog.log(LogEvent.ZONE_REACHED, zone, upstream.entry().id());
    }
    tellContact(zone, true);
  }

  private void tellContact(ZoneId zone, boolean reached) {
    List<Consumer<Boolean>> waiting = awaitingContact.remove(zone);
    if (waiting != null) {
      waiting.forEach(it -> it.accept(reached));
    }
  }

  private void step(long nowMillis) {
    for (ZoneId zone : zones.endChecks(nowMillis)) {
      metrics.counter("gateway_zones_lost").inc();
      EventLog.log(LogEvent.ZONE_UNREACHABLE, zone);
      tellContact(zone, false);
      lossListeners.forEach(it -> it.accept(zone));
    }
    for (ZoneReachability.Check check : zones.startChecks(nowMillis)) {
      upstreamsOf(check.zone()).stream().limit(check.upstreams()).forEach(this::check);
    }
  }

  /** Returns the upstreams of the zone in random order. */
  private List<Upstream> upstreamsOf(ZoneId zone) {
    List<Upstream> upstreams =
        new ArrayList<>(
            view.upstreams().stream().filter(it -> it.entry().zone().equals(zone)).toList());
    Collections.shuffle(upstreams, random);
    return upstreams;
  }

  private void check(Upstream upstream) {
    metrics.counter("gateway_zone_checks").inc();
    connector.check(
        upstream, () -> recordContact(upstream), failure -> recordFailure(upstream, failure));
  }
}
