package org.ragworttide.gateway.relay;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.retry.RetryBudget;
import org.ragworttide.gateway.model.ServiceName;

/**
 * One retry budget for each service.
 *
 * <p>Invariant: retries of a VM stay within its share of its own requests plus its part of the
 * fleet's slack, so those of all VMs stay within the fleet's bound while a VM hears of the others.
 * Confined to the event loop.
 */
public final class RetryAllowances {
  /** Share of the fleet's ratio that is used, so that a window's edges cannot exceed it. */
  private static final double RATIO_USED = 0.9;

  /** VMs that are assumed when fewer are heard of: today's fleets, spares included. */
  private static final int LEAST_FLEET = 12;

  private final double ratio;
  private final int slack;
  private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
  private int reserve;

  /**
   * Creates budgets with full reserves.
   *
   * @param ratio retries for one request that the fleet may send
   * @param slack retries beyond that
   */
  public RetryAllowances(double ratio, int slack) {
    this.ratio = ratio;
    this.slack = slack;
    fleetSize(1);
  }

  /** Takes how many VMs share the slack. */
  public void fleetSize(int vms) {
    reserve = Math.max(Math.min(1, slack), slack / Math.max(LEAST_FLEET, vms));
    budgets.values().forEach(budget -> budget.reserve(reserve));
  }

  void requested(ServiceName service) {
    budget(service).attempted();
  }

  boolean tryRetry(ServiceName service) {
    return budget(service).tryRetry();
  }

  private RetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget(ratio * RATIO_USED, reserve));
  }
}
