package org.ragworttide.gateway.view;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Supplier;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.placement.RejectionTolerance;
import org.ragworttide.coordination.placement.StatedTolerance;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.relay.UpstreamStatement;

/**
 * The services whose upstreams are brittle: they fail if they reject more than a few requests in a
 * second.
 *
 * <p>Invariant: only configured services are brittle. Confined to the event loop.
 */
public final class BrittleServices {
  private final Supplier<Set<ServiceName>> configured;
  private final Map<ServiceName, RejectionTolerance> tolerances = new HashMap<>();

  /** Creates a view without brittle services, given the configured ones. */
  BrittleServices(Supplier<Set<ServiceName>> configured) {
    this.configured = configured;
  }

  /** Records what an upstream has stated in an answer to this VM. */
  public void recordAnswer(
      ServiceName service, int incarnationKey, UpstreamStatement statement, long nowMillis) {
    if (statement.toleratedRejections().isPresent() || statement.endsTolerance()) {
      boolean changes =
          tolerance(service)
              .recordAnswer(incarnationKey, statement.toleratedRejections(), nowMillis);
      logIf(changes, service, nowMillis);
    }
  }

  /** Records what another VM states, with its time on this VM's clock. */
  public void recordPeerTolerance(StatedTolerance stated, long nowMillis) {
    for (ServiceName service : configured.get()) {
      if (key(service) == stated.service()) {
        logIf(tolerance(service).record(stated, nowMillis), service, nowMillis);
      }
    }
  }

  /** Returns the rejections per second that each upstream tolerates, empty if any number. */
  public OptionalInt perSecond(ServiceName service, long nowMillis) {
    return Optional.ofNullable(tolerances.get(service))
        .map(it -> it.perSecond(nowMillis))
        .orElse(OptionalInt.empty());
  }

  /** Returns the time since which the service is known to be brittle. */
  public long sinceMillis(ServiceName service) {
    return tolerance(service).sinceMillis();
  }

  /** Returns the tolerances to state to other VMs. */
  public List<StatedTolerance> news(long nowMillis) {
    return tolerances.values().stream().flatMap(it -> it.news(nowMillis).stream()).toList();
  }

  private RejectionTolerance tolerance(ServiceName service) {
    return tolerances.computeIfAbsent(service, it -> new RejectionTolerance(key(it)));
  }

  private void logIf(boolean changes, ServiceName service, long nowMillis) {
    if (changes) {
      OptionalInt tolerated = perSecond(service, nowMillis);
      EventLog.log(
          LogEvent.REJECTIONS_TOLERATED,
          service,
          tolerated.isPresent() ? tolerated.getAsInt() : "any number of");
    }
  }

  private static int key(ServiceName service) {
    return (int) Rendezvous.hash(service.value());
  }
}
