package org.ragworttide.coordination.admission;

import static org.ragworttide.coordination.admission.AdmissionFixture.COLD_LIMIT;
import static org.ragworttide.coordination.admission.AdmissionFixture.ENGINE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a cold upstream gets no more than it can bear, over all daemons together. */
public class ColdAdmissionTest {
  private static final int DAEMONS = 7;
  private static final long LEASE_MILLIS = 5_000;

  /** Returns the seeds to run. */
  @DataProvider
  public static Object[][] seeds() {
    int count = Integer.getInteger("seeds", 40);
    long first = Long.getLong("seed", 20261204);
    Object[][] seeds = new Object[count][1];
    for (int i = 0; i < count; i++) {
      seeds[i][0] = first + i;
    }
    return seeds;
  }

  /** Starts whatever is admitted at random daemons for a while, with the lease renewed. */
  private static void run(AdmissionFixture f, long millis, int owner) {
    for (long t = 0; t < millis; t += 20) {
      if (t % 1_000 == 0) {
        f.own(owner, LEASE_MILLIS);
      }
      f.tryStart(f.random.nextInt(DAEMONS), 300 + f.random.nextLong(4_000));
      f.time.advance(20);
    }
  }

  private static boolean allWarm(AdmissionFixture f) {
    return f.fleet.stream().allMatch(a -> a.view().isWarm(ENGINE));
  }

  @Test(dataProvider = "seeds")
  public void unknownUpstreamNeverGetsMoreThanItsColdLimit(long seed) {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, seed);
    f.network.faults(0.1, 0.1, 400);
    f.firstTokenMillis = 100_000;
    for (int change = 0; change < 6; change++) {
      run(f, 6_000, f.random.nextInt(DAEMONS));
      letLeaseEnd(f);
    }
    assertTrue(f.highest > 0, "nothing was started, seed " + seed);
    assertTrue(f.highest <= COLD_LIMIT, f.highest + " in flight, seed " + seed);
  }

  @Test
  public void entryWithoutAskingSendsNoQuestionAndStartsNothingCold() {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, 1);
    f.own(0, LEASE_MILLIS);
    final long before = f.network.sent();
    assertFalse(f.fleet.get(1).tryEnterWithoutAsking(ENGINE));
    assertEquals(f.network.sent(), before);
    assertFalse(f.fleet.get(1).tryEnter(ENGINE));
    assertEquals(f.network.sent(), before + 1);
  }

  private static void letLeaseEnd(AdmissionFixture f) {
    while (f.time.nowMillis() < f.ownedUntilMillis()) {
      f.tryStart(f.random.nextInt(DAEMONS), 3_000);
      f.time.advance(20);
    }
  }

  @Test(dataProvider = "seeds")
  public void crashesAndOwnerChangesTogetherStayWithinColdLimit(long seed) {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, seed);
    f.network.faults(0.1, 0.1, 400);
    f.firstTokenMillis = 100_000;
    for (int change = 0; change < 8; change++) {
      run(f, 1_000 * (1 + f.random.nextInt(4)), f.random.nextInt(DAEMONS));
      if (f.random.nextBoolean()) {
        f.crash();
        f.incarnation++;
      }
      letLeaseEnd(f);
    }
    assertTrue(f.highest > 0 && f.highest <= COLD_LIMIT, f.highest + " seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void levelRisesUntilUpstreamIsWarmEverywhere(long seed) {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, seed);
    f.network.faults(0.02, 0.02, 5);
    run(f, 30_000, 2);
    assertTrue(allWarm(f), "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void restartedFleetTreatsWarmUpstreamAsCold(long seed) {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, seed);
    run(f, 30_000, 2);
    f.running.clear();
    for (int i = 0; i < DAEMONS; i++) {
      f.fleet.set(i, f.start(i, DAEMONS));
    }
    f.highest = 0;
    f.firstTokenMillis = 100_000;
    f.time.advance(LEASE_MILLIS);
    run(f, 10_000, 3);
    assertTrue(f.highest > 0 && f.highest <= COLD_LIMIT, f.highest + " seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void restartedUpstreamIsColdAgainEverywhere(long seed) {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, seed);
    run(f, 30_000, 2);
    f.incarnation = 2;
    f.crash();
    f.firstTokenMillis = 100_000;
    f.own(2, LEASE_MILLIS);
    f.time.advance(2_000);
    f.highest = 0;
    run(f, 10_000, 2);
    assertTrue(f.highest > 0 && f.highest <= COLD_LIMIT, f.highest + " seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void silentColdTurnIsNoticedAndHeldBackEverywhere(long seed) {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, seed);
    f.network.faults(0.02, 0, 5);
    run(f, 30_000, 2);
    f.firstTokenMillis = 3_000;
    run(f, 10_000, 2);
    for (ColdAdmission admission : f.fleet) {
      assertFalse(admission.view().isWarm(ENGINE), "seed " + seed);
    }
  }

  @Test(dataProvider = "seeds")
  public void warmUpstreamStaysUsableThroughOwnerChange(long seed) {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, seed);
    run(f, 30_000, 2);
    letLeaseEnd(f);
    f.fleet.set(5, f.start(5, DAEMONS));
    run(f, 10_000, 4);
    assertTrue(allWarm(f), "seed " + seed);
  }

  @Test
  public void newOwnerCountsWhatRunsFromBefore() {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, 1);
    f.firstTokenMillis = 100_000;
    for (int step = 0; step < 400; step++) {
      f.own(0, 1_000);
      f.tryStart(step % DAEMONS, 60_000);
      f.time.advance(20);
    }
    final int before = f.running.size();
    f.time.advance(1_000);
    for (int step = 0; step < 400; step++) {
      f.own(1, 1_000);
      f.tryStart(step % DAEMONS, 60_000);
      f.time.advance(20);
    }
    assertEquals(before, 2);
    assertEquals(f.running.size(), 2);
  }

  @Test
  public void permitIsNotUsedAfterLeaseUnderWhichItWasGiven() {
    AdmissionFixture f = new AdmissionFixture(DAEMONS, 1);
    f.own(0, 60_000);
    f.time.advance(2_000);
    f.fleet.get(3).tryEnter(ENGINE);
    f.time.advance(1_500);
    f.own(0, 1_000);
    f.fleet.get(3).tryEnter(ENGINE);
    f.time.advance(1_000);
    assertFalse(f.fleet.get(3).tryEnter(ENGINE));
  }

  @Test
  public void failureLowersLevel() {
    ColdUpstream upstream = new ColdUpstream(8, 1, 1, AdmissionSettings.DEFAULTS, 0);
    assertEquals(upstream.level(), 2);
    upstream.feedback(2, 0);
    assertEquals(upstream.level(), 4);
    upstream.feedback(0, 1);
    assertEquals(upstream.level(), 2);
  }

  @Test
  public void upstreamWithoutColdLimitIsNotHeldBack() {
    AdmissionFixture f = new AdmissionFixture(1, 1);
    f.fleet.getFirst().coldLimits(Map.of());
    assertTrue(f.fleet.getFirst().tryEnter(ENGINE));
  }
}
