package org.ragworttide.coordination.zones;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.ragworttide.coordination.zones.TunnelFleet.Cut;
import org.ragworttide.coordination.zones.TunnelFleet.Manner;
import org.ragworttide.coordination.zones.TunnelFleet.Scenario;
import org.ragworttide.coordination.zones.TunnelFleet.TunnelVm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays fleets of which some VMs are cut off from all upstreams. */
public class TunnelFleetTest {
  private static final int[] VMS = {7, 95, 345};
  private static final int SMALL_FLEET_VMS = 7;
  private static final long SEEDS = 3;

  /** Share of connections that lossy links fail. */
  private static final double LOSSY = 0.03;

  /** Checks of all zones in a second: the first ones and those of lost zones. */
  private static final long MAX_CHECKS_PER_SECOND =
      ReachabilityFleet.ZONES
          * (ZoneReachability.REFUSED_CHECK_UPSTREAMS
              + ZoneReachability.LATER_CHECK_UPSTREAMS
                  * 1_000
                  / ZoneReachability.CHECK_INTERVAL_MILLIS);

  /** Replays of a single cut without losses, which several tests look at. */
  private final Map<List<Object>, TunnelFleet> played = new ConcurrentHashMap<>();

  /** Numbers of VMs, cuts that leave VMs which can help, and seeds. */
  @DataProvider
  public Object[][] cuts() {
    List<Object[]> cases = new ArrayList<>(List.of(cutsThatSpareSeveral()));
    cases.addAll(cases(SMALL_FLEET_VMS, Cut.ALL_BUT_ONE));
    return cases.toArray(new Object[0][]);
  }

  /** Cuts after which a VM that has failed leaves others which can help. */
  @DataProvider
  public Object[][] cutsThatSpareSeveral() {
    List<Object[]> cases = new ArrayList<>();
    for (int count : VMS) {
      for (Cut cut : List.of(Cut.ONE, Cut.HALF, Cut.ZONE)) {
        cases.addAll(cases(count, cut));
      }
    }
    return cases.toArray(new Object[0][]);
  }

  /** Cuts of large fleets that leave one VM which can help. */
  @DataProvider
  public Object[][] cutsThatSpareOneOfMany() {
    List<Object[]> cases = new ArrayList<>(cases(95, Cut.ALL_BUT_ONE));
    cases.addAll(cases(345, Cut.ALL_BUT_ONE));
    return cases.toArray(new Object[0][]);
  }

  /** Cuts of all VMs of a small fleet. */
  @DataProvider
  public Object[][] cutsOfAll() {
    return cases(SMALL_FLEET_VMS, Cut.ALL).toArray(new Object[0][]);
  }

  /** Cuts of all VMs of large fleets. */
  @DataProvider
  public Object[][] cutsOfAllOfMany() {
    List<Object[]> cases = new ArrayList<>(cases(95, Cut.ALL));
    cases.addAll(cases(345, Cut.ALL));
    return cases.toArray(new Object[0][]);
  }

  /** Numbers of VMs and seeds. */
  @DataProvider
  public Object[][] fleets() {
    List<Object[]> cases = new ArrayList<>();
    for (int count : VMS) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        cases.add(new Object[] {count, seed});
      }
    }
    return cases.toArray(new Object[0][]);
  }

  private static List<Object[]> cases(int count, Cut cut) {
    List<Object[]> cases = new ArrayList<>();
    for (Manner manner : Manner.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        cases.add(new Object[] {count, cut, manner, seed});
      }
    }
    return cases;
  }

  private TunnelFleet playOnce(int count, Cut cut, Manner manner, long seed) {
    return played.computeIfAbsent(
        List.of(count, cut, manner, seed),
        key -> TunnelFleet.play(count, Scenario.of(cut, manner), seed));
  }

  private static void assertRecovered(TunnelFleet fleet) {
    assertTrue(
        fleet.isRecovered(),
        "stranded VMs serve "
            + TunnelFleet.servedShare(fleet.stranded())
            + ", others "
            + TunnelFleet.servedShare(fleet.helpers()));
  }

  /** Guards against callers of VMs without a way to any upstream that are not served. */
  @Test(dataProvider = "cuts")
  public void callersOfStrandedVmsAreServed(int count, Cut cut, Manner manner, long seed) {
    assertRecovered(playOnce(count, cut, manner, seed));
  }

  @Test(dataProvider = "cuts")
  public void callersOfStrandedVmsAreServedWhereMessagesAreLost(
      int count, Cut cut, Manner manner, long seed) {
    assertRecovered(TunnelFleet.play(count, Scenario.of(cut, manner).losing(0.01, 0.2), seed));
  }

  /** Guards against verdicts of one cut that last into the next. */
  @Test(dataProvider = "cuts")
  public void callersOfStrandedVmsAreServedInShortCuts(
      int count, Cut cut, Manner manner, long seed) {
    assertRecovered(TunnelFleet.play(count, Scenario.of(cut, manner).inShortCuts(), seed));
  }

  /** Guards against requests that all wait for a helping VM that has failed. */
  @Test(dataProvider = "cutsThatSpareSeveral")
  public void callersOfStrandedVmsAreServedWhereOneHelpingVmFails(
      int count, Cut cut, Manner manner, long seed) {
    assertRecovered(TunnelFleet.play(count, Scenario.of(cut, manner).withDeadHelper(), seed));
  }

  /** Shows that the replay has the fault against which tunnels were introduced. */
  @Test(dataProvider = "cuts")
  public void callersOfStrandedVmsAreNotServedWithoutTunnels(
      int count, Cut cut, Manner manner, long seed) {
    TunnelFleet former = TunnelFleet.play(count, Scenario.of(cut, manner).withoutTunnels(), seed);
    double share = TunnelFleet.servedShare(former.stranded());
    assertTrue(share * 3 < TunnelFleet.servedShare(former.helpers()) * 2, "served " + share);
  }

  /** Guards against one VM that carries what several could. */
  @Test(dataProvider = "cuts")
  public void tunnelsSpreadOverHelpingVms(int count, Cut cut, Manner manner, long seed) {
    TunnelFleet fleet = playOnce(count, cut, manner, seed);
    double mean = fleet.helpers().stream().mapToInt(it -> it.carried).average().orElseThrow();
    int most = fleet.helpers().stream().mapToInt(it -> it.carried).max().orElseThrow();
    assertTrue(most <= 3 * mean + 10, most + " tunnels through one VM, mean " + mean);
  }

  @Test(dataProvider = "cuts")
  public void strandedVmsFindOutInTime(int count, Cut cut, Manner manner, long seed) {
    TunnelFleet fleet = playOnce(count, cut, manner, seed);
    long verdictMillis = longest(fleet, it -> it.verdictAtMillis, TunnelFleet.CUT_FROM_MILLIS);
    assertTrue(verdictMillis <= TunnelFleet.STABLE_MILLIS, verdictMillis + " ms");
  }

  @Test(dataProvider = "cuts")
  public void strandedVmsUseTheirOwnWaysSoonAfterTheCut(
      int count, Cut cut, Manner manner, long seed) {
    Scenario cutOnce = Scenario.of(cut, manner);
    for (Scenario scenario : List.of(cutOnce, cutOnce.inShortCuts())) {
      TunnelFleet fleet = TunnelFleet.play(count, scenario, seed);
      long millis = longest(fleet, it -> it.ownWaysAtMillis, scenario.endOfCutsMillis());
      assertTrue(millis <= 2 * ZoneReachability.CHECK_INTERVAL_MILLIS, millis + " ms");
    }
  }

  private static long longest(
      TunnelFleet fleet, Function<TunnelVm, Long> atMillis, long sinceMillis) {
    return TunnelFleet.longestAfter(fleet.stranded().stream().map(atMillis).toList(), sinceMillis);
  }

  /** Guards against checks that grow with the number of requests or of other VMs. */
  @Test(dataProvider = "cuts")
  public void checksOfEachVmAreBounded(int count, Cut cut, Manner manner, long seed) {
    TunnelFleet fleet = playOnce(count, cut, manner, seed);
    int checks = TunnelFleet.most(fleet.vms, it -> it.checksBySecond);
    assertTrue(checks <= MAX_CHECKS_PER_SECOND, checks + " checks in a second");
  }

  /** Guards against requests that wait for each other's help where nobody reaches an upstream. */
  @Test(dataProvider = "cutsOfAll")
  public void nobodyIsAskedWhereAllVmsAreStranded(int count, Cut cut, Manner manner, long seed) {
    assertNobodyIsAskedAfterFirstSecond(playOnce(count, cut, manner, seed));
  }

  @Test(dataProvider = "cutsOfAllOfMany", groups = "known-red")
  public void nobodyIsAskedWhereAllVmsOfLargeFleetsAreStranded(
      int count, Cut cut, Manner manner, long seed) {
    assertNobodyIsAskedAfterFirstSecond(playOnce(count, cut, manner, seed));
  }

  private static void assertNobodyIsAskedAfterFirstSecond(TunnelFleet fleet) {
    assertEquals(
        fleet.askedAfterFirstSecond,
        0,
        "last after " + fleet.lastAskedInCutMillis + " ms, tunnels");
  }

  @Test(dataProvider = "cutsThatSpareOneOfMany", groups = "known-red")
  public void callersAreServedThroughTheOnlyHelpingVmOfLargeFleets(
      int count, Cut cut, Manner manner, long seed) {
    assertRecovered(playOnce(count, cut, manner, seed));
  }

  /** Guards against requests that wait where few VMs are known to help. */
  @Test(dataProvider = "cutsThatSpareOneOfMany")
  public void requestsAreRefusedAtOnceWhereTheHelpingVmIsUnknown(
      int count, Cut cut, Manner manner, long seed) {
    TunnelFleet fleet = playOnce(count, cut, manner, seed);
    assertTrue(fleet.longestRefusalMillis <= 100, fleet.longestRefusalMillis + " ms");
  }

  /** Guards against checks that take a link which loses packets for a cut. */
  @Test(dataProvider = "fleets")
  public void linksThatLosePacketsStrandNoVm(int count, long seed) {
    Scenario lossy = Scenario.of(Cut.NONE, Manner.SILENT).losing(LOSSY, LOSSY);
    TunnelFleet fleet = TunnelFleet.play(count, lossy, seed);
    assertTrue(fleet.wronglyLost <= 1, fleet.wronglyLost + " zones taken for lost");
    assertRecovered(fleet);
  }
}
