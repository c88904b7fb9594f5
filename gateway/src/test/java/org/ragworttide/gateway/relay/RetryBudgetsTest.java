package org.ragworttide.gateway.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.ragworttide.gateway.model.ServiceName;
import org.testng.annotations.Test;

/** Tests that the retries of a whole fleet stay within its limit while all upstreams fail. */
public class RetryBudgetsTest {
  private static final ServiceName SERVICE = new ServiceName("s");

  private static int retries(RetryBudgets budgets, int requests) {
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      budgets.recordRequest(SERVICE);
      while (budgets.tryRetry(SERVICE)) {
        retries++;
      }
    }
    return retries;
  }

  @Test
  public void retriesOfTodaysFleetStayWithinItsLimit() {
    int sum = 0;
    for (int vm = 0; vm < 9; vm++) {
      sum += retries(new RetryBudgets(0.2, 52), 100);
    }
    assertTrue(sum <= 0.2 * 900 + 52, "retries " + sum);
  }

  @Test
  public void retriesOfLargeFleetStayWithinItsLimit() {
    int sum = 0;
    for (int vm = 0; vm < 77; vm++) {
      RetryBudgets budgets = new RetryBudgets(0.2, 194);
      budgets.setFleetSize(77);
      sum += retries(budgets, 40);
    }
    assertTrue(sum <= 0.2 * 77 * 40 + 194, "retries " + sum);
  }

  @Test
  public void nothingIsRetriedWithoutSlack() {
    assertEquals(retries(new RetryBudgets(0.2, 0), 100), 0);
  }
}
