package org.ragworttide.gateway.relay;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.coordination.zones.ZoneLeaving;
import org.ragworttide.coordination.zones.ZoneLosses;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.ZoneSettings;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.upstream.Upstream;

/**
 * The requests to plain services that stay in the VM's availability zone and those that leave.
 *
 * <p>Invariant: without a price of the way in the settings, no share is decided, nothing is stated
 * to other VMs, and requests are only counted. Confined to the event loop.
 */
public final class ZoneTraffic {
  private final ZoneId ownZone;
  private final MetricRegistry metrics;
  private final Optional<ZoneLeaving> leaving;
  private final Map<Integer, ServiceName> services = new HashMap<>();

  /**
   * Creates the traffic of a VM that has sent nothing.
   *
   * @param ownZone the VM's availability zone
   * @param settings the price of the way and the greatest share that leaves
   * @param metrics receives the numbers of requests and the shares
   */
  public ZoneTraffic(ZoneId ownZone, ZoneSettings settings, MetricRegistry metrics) {
    this.ownZone = ownZone;
    this.metrics = metrics;
    this.leaving =
        settings.crossingMillis().isPresent()
            ? Optional.of(
                new ZoneLeaving(
                    settings.crossingMillis().getAsDouble(), settings.maxLeavingShare()))
            : Optional.empty();
  }

  /** Starts changing the shares. */
  public void start(TimerService time) {
    leaving.ifPresent(it -> time.every(ZoneLeaving.STEP_MILLIS, () -> step(it, time.nowMillis())));
  }

  /** Returns the share of the requests to the service that leaves, empty if none is decided. */
  OptionalDouble share(ServiceName service) {
    return leaving.isPresent()
        ? OptionalDouble.of(leaving.get().share(key(service)))
        : OptionalDouble.empty();
  }

  /** Records that an upstream has answered, and by how much the latency objective was missed. */
  void recordAnswer(ServiceName service, Upstream upstream, long lateMillis, long nowMillis) {
    record(service, upstream, Math.max(0, lateMillis), nowMillis);
  }

  /** Records that an upstream has rejected a request because it is full. */
  void recordRejection(ServiceName service, Upstream upstream, long nowMillis) {
    record(service, upstream, ZoneLeaving.REJECTION_MILLIS, nowMillis);
  }

  private void record(ServiceName service, Upstream upstream, long lossMillis, long nowMillis) {
    boolean near = upstream.entry().zone().equals(ownZone);
    metrics.counter("gateway_zone_requests;way=" + (near ? "stays" : "leaves")).inc();
    leaving.ifPresent(
        it -> {
          services.put(key(service), service);
          it.record(key(service), near, lossMillis, nowMillis);
        });
  }

  /** Records what another VM of the zone states. */
  public void recordStatement(VmId vm, Map<Integer, ZoneLosses> losses, long nowMillis) {
    leaving.ifPresent(it -> it.recordStatement(vm, losses, nowMillis));
  }

  /** Returns what this VM states to the others of its zone. */
  public Map<Integer, ZoneLosses> nextStatement(long nowMillis) {
    return leaving.map(it -> it.nextStatement(nowMillis)).orElse(Map.of());
  }

  private void step(ZoneLeaving shares, long nowMillis) {
    Map<Integer, Double> before = new HashMap<>();
    services.keySet().forEach(service -> before.put(service, shares.share(service)));
    shares.step(nowMillis);
    services.forEach(
        (key, service) -> {
          double share = shares.share(key);
          if (share > 0 != before.get(key) > 0) {
            EventLog.log(LogEvent.ZONE_SHARE_CHANGED, service, ownZone, share);
          }
        });
  }

  private static int key(ServiceName service) {
    return (int) Rendezvous.hash(service.value());
  }
}
