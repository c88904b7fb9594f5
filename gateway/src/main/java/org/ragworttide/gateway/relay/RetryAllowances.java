package org.ragworttide.gateway.relay;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.retry.RetryBudget;
import org.ragworttide.gateway.model.ServiceName;

/**
 * One retry budget for each service.
 *
 * <p>Invariant: retries of a VM stay within its share of its own requests plus a reserve, so those
 * of all VMs stay within the same share of all requests. Confined to the event loop.
 */
public final class RetryAllowances {
  private final double share;
  private final int reserve;
  private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

  /**
   * Creates budgets with full reserves.
   *
   * @param share retries for one request, in the long run
   * @param reserve retries that may be saved up for a service
   */
  public RetryAllowances(double share, int reserve) {
    this.share = share;
    this.reserve = reserve;
  }

  void requested(ServiceName service) {
    budget(service).attempted();
  }

  boolean tryRetry(ServiceName service) {
    return budget(service).tryRetry();
  }

  private RetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget(share, reserve));
  }
}
