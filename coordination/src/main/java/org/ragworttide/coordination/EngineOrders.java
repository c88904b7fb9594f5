package org.ragworttide.coordination;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.lease.LeaseQueries;
import org.ragworttide.coordination.limits.LimitCommands;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.orders.OrderSettings;
import org.ragworttide.coordination.orders.Orders;
import org.ragworttide.coordination.time.TimerService;

/**
 * Connects the orders to engines with the leases that decide which daemon sends them and with the
 * rate limit of the weight store.
 *
 * <p>Invariant: the limit of the weight store has a name that no organisation of a configuration
 * can have. Confined to the coordination thread.
 */
final class EngineOrders {
  private static final OrganisationId WEIGHT_STORE = new OrganisationId("#weight-store");
  private static final String RESOURCE_PREFIX = "orders/";

  private final Orders orders;

  EngineOrders(
      Incarnation incarnation, TimerService time, LeaseQueries leases, LimitCommands limits) {
    this.orders =
        new Orders(
            time,
            engine -> leases.isOwner(Shard.of(RESOURCE_PREFIX + engine)),
            (request, decision) -> limits.acquire(WEIGHT_STORE, request, decision),
            OrderSettings.DEFAULTS,
            incarnation.toString());
  }

  Orders orders() {
    return orders;
  }

  /** Returns the rate limits of all organisations and of the weight store. */
  static Map<OrganisationId, RateLimit> rates(FleetPolicy policy) {
    Map<OrganisationId, RateLimit> rates = new HashMap<>(policy.rates());
    policy.orders().weightStore().ifPresent(limit -> rates.put(WEIGHT_STORE, limit));
    return rates;
  }
}
