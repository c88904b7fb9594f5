package org.ragworttide.coordination;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.orders.OrderPolicy;
import org.ragworttide.coordination.routing.UpstreamSpec;
import org.ragworttide.coordination.routing.ZoneState;

/**
 * Coordination policy of a configuration version.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param rates fleet-wide rate and burst of each organisation
 * @param coldLimits fleet-wide maximum of concurrent requests to each upstream while it is cold
 * @param longestRunsMillis maximum duration of a request at each upstream that publishes no load
 * @param upstreams the upstreams that may serve requests
 * @param zones state of each availability zone: whether it accepts new work
 * @param orders wanted states of the engines that accept orders
 */
public record FleetPolicy(
    Map<OrganisationId, RateLimit> rates,
    Map<UpstreamId, Integer> coldLimits,
    Map<UpstreamId, Long> longestRunsMillis,
    List<UpstreamSpec> upstreams,
    Map<ZoneId, ZoneState> zones,
    OrderPolicy orders) {

  /** Copies the collections. */
  public FleetPolicy {
    rates = Map.copyOf(rates);
    coldLimits = Map.copyOf(coldLimits);
    longestRunsMillis = Map.copyOf(longestRunsMillis);
    upstreams = List.copyOf(upstreams);
    zones = Map.copyOf(zones);
    Objects.requireNonNull(orders, "orders");
  }

  /** Creates a policy without orders to engines, whose upstreams all publish their load. */
  public FleetPolicy(
      Map<OrganisationId, RateLimit> rates,
      Map<UpstreamId, Integer> coldLimits,
      List<UpstreamSpec> upstreams,
      Map<ZoneId, ZoneState> zones) {
    this(rates, coldLimits, Map.of(), upstreams, zones, OrderPolicy.NONE);
  }
}
