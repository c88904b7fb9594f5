package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays fleets in which every VM sees a sliver of the requests, from their first request on. */
public class OverloadedEngineFleetTest {
  private static final long WINDOW_MILLIS = 5_000;
  private static final double MAX_OVERLOADED_SHARE = 0.03;

  /** Numbers of VMs and engines, the share of a hot session, and seeds. */
  @DataProvider
  public Object[][] fleets() {
    List<Object[]> cases = new ArrayList<>();
    for (int[] fleet : new int[][] {{7, 13}, {23, 18}, {30, 24}, {95, 74}, {345, 270}}) {
      for (double hotShare : new double[] {0, 0.13, 0.28}) {
        for (long seed = 1; seed <= 3; seed++) {
          cases.add(new Object[] {fleet[0], fleet[1], hotShare, seed});
        }
      }
    }
    return cases.toArray(new Object[0][]);
  }

  /** Guards against VMs that take the few loads that they know for those of the fleet. */
  @Test(dataProvider = "fleets")
  public void hotSessionOverloadsNoEngineFromTheFirstSecondOn(
      int vms, int engines, double hotShare, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(vms, engines, seed);
    fleet.play(1_000, 0);
    fleet.play(6_000, hotShare);
    double worst = fleet.worstOverloadedShare(WINDOW_MILLIS);
    assertTrue(
        worst <= MAX_OVERLOADED_SHARE, worst + " of the requests reached overloaded engines");
  }

  /** Numbers of VMs and engines, of engines that are taken out, multiples of traffic, and seeds. */
  @DataProvider
  public Object[][] evacuations() {
    List<Object[]> cases = new ArrayList<>();
    for (long seed = 1; seed <= 3; seed++) {
      cases.add(new Object[] {8, 8, 4, 2.5, seed});
      cases.add(new Object[] {95, 74, 15, 2.0, seed});
      cases.add(new Object[] {345, 270, 54, 2.0, seed});
    }
    return cases.toArray(new Object[0][]);
  }

  /** Guards against a bound that rises when engines of the service are taken out. */
  @Test(dataProvider = "evacuations")
  public void evacuationOverloadsNoEngine(
      int vms, int engines, int evacuated, double traffic, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(vms, engines, seed);
    fleet.traffic(traffic);
    fleet.play(1_000, 0);
    fleet.evacuate(evacuated);
    fleet.play(10_000, 0);
    double worst = fleet.worstOverloadedShare(WINDOW_MILLIS);
    assertTrue(
        worst <= MAX_OVERLOADED_SHARE, worst + " of the requests reached overloaded engines");
  }
}
