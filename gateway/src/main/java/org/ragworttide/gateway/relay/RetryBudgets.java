package org.ragworttide.gateway.relay;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.retry.RetryBudget;
import org.ragworttide.gateway.model.ServiceName;

/**
 * Retry budgets of a VM, one for each service.
 *
 * <p>Invariant: the retries of a VM stay within a ratio of its own requests plus its part of the
 * fleet's slack, so the retries of all VMs stay within the fleet's limit as long as each VM knows
 * the fleet's size. Confined to the event loop.
 */
public final class RetryBudgets {
  /**
   * Share of the fleet's ratio that is used, so that the ratio is not exceeded at the edges of a
   * window.
   */
  private static final double RATIO_SHARE = 0.9;

  /** Smallest assumed fleet size: today's fleets, spares included. */
  private static final int MIN_FLEET_VMS = 12;

  private final double ratio;
  private final int slack;
  private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
  private int reserve;

  /**
   * Creates budgets with full reserves.
   *
   * @param ratio retries that the fleet may send for each request
   * @param slack retries beyond the ratio, over all VMs
   */
  public RetryBudgets(double ratio, int slack) {
    this.ratio = ratio;
    this.slack = slack;
    setFleetSize(1);
  }

  /** Sets the number of VMs that share the slack. */
  public void setFleetSize(int vms) {
    reserve = Math.max(Math.min(1, slack), slack / Math.max(MIN_FLEET_VMS, vms));
    budgets.values().forEach(budget -> budget.setReserve(reserve));
  }

  void recordRequest(ServiceName service) {
    budget(service).recordFirstAttempt();
  }

  boolean tryRetry(ServiceName service) {
    return budget(service).tryRetry();
  }

  private RetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget(ratio * RATIO_SHARE, reserve));
  }
}
