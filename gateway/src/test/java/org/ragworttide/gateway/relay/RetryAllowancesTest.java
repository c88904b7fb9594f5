package org.ragworttide.gateway.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.ragworttide.gateway.model.ServiceName;
import org.testng.annotations.Test;

/** Sums the retries of fleets whose upstreams all fail. */
public class RetryAllowancesTest {
  private static final ServiceName SERVICE = new ServiceName("s");

  private static int retries(RetryAllowances allowances, int requests) {
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      allowances.requested(SERVICE);
      while (allowances.tryRetry(SERVICE)) {
        retries++;
      }
    }
    return retries;
  }

  @Test
  public void retriesOfTodaysFleetStayWithinItsBound() {
    int sum = 0;
    for (int vm = 0; vm < 9; vm++) {
      sum += retries(new RetryAllowances(0.2, 52), 100);
    }
    assertTrue(sum <= 0.2 * 900 + 52, "retries " + sum);
  }

  @Test
  public void retriesOfLargeFleetStayWithinItsBound() {
    int sum = 0;
    for (int vm = 0; vm < 77; vm++) {
      RetryAllowances allowances = new RetryAllowances(0.2, 194);
      allowances.fleetSize(77);
      sum += retries(allowances, 40);
    }
    assertTrue(sum <= 0.2 * 77 * 40 + 194, "retries " + sum);
  }

  @Test
  public void nothingIsRetriedWithoutSlack() {
    assertEquals(retries(new RetryAllowances(0.2, 0), 100), 0);
  }
}
