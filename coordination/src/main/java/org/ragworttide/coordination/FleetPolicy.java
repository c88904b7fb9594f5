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
 * What a configuration version lays down for coordination.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param rates rate and burst of each organisation, which count fleet-wide
 * @param coldLimits most requests at once, fleet-wide, to an upstream that is cold
 * @param longestRunsMillis how long a request can run at each upstream that publishes no load
 * @param upstreams where requests may go
 * @param zones which availability zones take new work
 * @param orders what engines are ordered to be
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

  /** Lays down a policy whose upstreams all publish their load, without orders to engines. */
  public FleetPolicy(
      Map<OrganisationId, RateLimit> rates,
      Map<UpstreamId, Integer> coldLimits,
      List<UpstreamSpec> upstreams,
      Map<ZoneId, ZoneState> zones) {
    this(rates, coldLimits, Map.of(), upstreams, zones, OrderPolicy.NONE);
  }
}
