package org.ragworttide.coordination.admission;

import static org.ragworttide.coordination.admission.AdmissionFixture.COLD_LIMIT;
import static org.ragworttide.coordination.admission.AdmissionFixture.ENGINE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that all daemons together keep a cold upstream within its cold limit. */
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

  /** Sends requests from random daemons for a time and renews the lease each second. */
  private static void run(AdmissionFixture fixture, long millis, int owner) {
    for (long t = 0; t < millis; t += 20) {
      if (t % 1_000 == 0) {
        fixture.own(owner, LEASE_MILLIS);
      }
      fixture.tryStart(fixture.random.nextInt(DAEMONS), 300 + fixture.random.nextLong(4_000));
      fixture.time.advance(20);
    }
  }

  private static boolean isWarmEverywhere(AdmissionFixture fixture) {
    return fixture.fleet.stream().allMatch(a -> a.view().isWarm(ENGINE));
  }

  @Test(dataProvider = "seeds")
  public void upstreamNotKnownWarmStaysWithinItsColdLimit(long seed) {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, seed);
    fixture.network.faults(0.1, 0.1, 400);
    fixture.firstTokenMillis = 100_000;
    for (int change = 0; change < 6; change++) {
      run(fixture, 6_000, fixture.random.nextInt(DAEMONS));
      runUntilLeaseExpires(fixture);
    }
    assertTrue(fixture.highestInFlight > 0, "no request was started, seed " + seed);
    assertTrue(
        fixture.highestInFlight <= COLD_LIMIT,
        fixture.highestInFlight + " in flight, seed " + seed);
  }

  @Test
  public void tryEnterLocallySendsNoMessageAndStartsNoRequestAtColdUpstream() {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, 1);
    fixture.own(0, LEASE_MILLIS);
    final long before = fixture.network.sent();
    assertFalse(fixture.fleet.get(1).tryEnterLocally(ENGINE));
    assertEquals(fixture.network.sent(), before);
    assertFalse(fixture.fleet.get(1).tryEnter(ENGINE));
    assertEquals(fixture.network.sent(), before + 1);
  }

  private static void runUntilLeaseExpires(AdmissionFixture fixture) {
    while (fixture.time.nowMillis() < fixture.ownedUntilMillis()) {
      fixture.tryStart(fixture.random.nextInt(DAEMONS), 3_000);
      fixture.time.advance(20);
    }
  }

  @Test(dataProvider = "seeds")
  public void crashesAndOwnerChangesTogetherStayWithinColdLimit(long seed) {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, seed);
    fixture.network.faults(0.1, 0.1, 400);
    fixture.firstTokenMillis = 100_000;
    for (int change = 0; change < 8; change++) {
      run(fixture, 1_000 * (1 + fixture.random.nextInt(4)), fixture.random.nextInt(DAEMONS));
      if (fixture.random.nextBoolean()) {
        fixture.crash();
        fixture.incarnation++;
      }
      runUntilLeaseExpires(fixture);
    }
    assertTrue(
        fixture.highestInFlight > 0 && fixture.highestInFlight <= COLD_LIMIT,
        fixture.highestInFlight + " seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void levelRisesUntilUpstreamIsWarmEverywhere(long seed) {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, seed);
    fixture.network.faults(0.02, 0.02, 5);
    run(fixture, 30_000, 2);
    assertTrue(isWarmEverywhere(fixture), "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void restartedFleetTreatsWarmUpstreamAsCold(long seed) {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, seed);
    run(fixture, 30_000, 2);
    fixture.running.clear();
    for (int i = 0; i < DAEMONS; i++) {
      fixture.fleet.set(i, fixture.start(i, DAEMONS));
    }
    fixture.highestInFlight = 0;
    fixture.firstTokenMillis = 100_000;
    fixture.time.advance(LEASE_MILLIS);
    run(fixture, 10_000, 3);
    assertTrue(
        fixture.highestInFlight > 0 && fixture.highestInFlight <= COLD_LIMIT,
        fixture.highestInFlight + " seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void restartedUpstreamIsColdAgainEverywhere(long seed) {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, seed);
    run(fixture, 30_000, 2);
    fixture.incarnation = 2;
    fixture.crash();
    fixture.firstTokenMillis = 100_000;
    fixture.own(2, LEASE_MILLIS);
    fixture.time.advance(2_000);
    fixture.highestInFlight = 0;
    run(fixture, 10_000, 2);
    assertTrue(
        fixture.highestInFlight > 0 && fixture.highestInFlight <= COLD_LIMIT,
        fixture.highestInFlight + " seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void coldTurnWithoutRestartIsDetectedEverywhere(long seed) {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, seed);
    fixture.network.faults(0.02, 0, 5);
    run(fixture, 30_000, 2);
    fixture.firstTokenMillis = 3_000;
    run(fixture, 10_000, 2);
    for (ColdAdmission admission : fixture.fleet) {
      assertFalse(admission.view().isWarm(ENGINE), "seed " + seed);
    }
  }

  @Test(dataProvider = "seeds")
  public void warmUpstreamStaysUsableThroughOwnerChange(long seed) {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, seed);
    run(fixture, 30_000, 2);
    runUntilLeaseExpires(fixture);
    fixture.fleet.set(5, fixture.start(5, DAEMONS));
    run(fixture, 10_000, 4);
    assertTrue(isWarmEverywhere(fixture), "seed " + seed);
  }

  @Test
  public void newOwnerCountsRequestsStartedUnderTheEarlierOwner() {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, 1);
    fixture.firstTokenMillis = 100_000;
    for (int step = 0; step < 400; step++) {
      fixture.own(0, 1_000);
      fixture.tryStart(step % DAEMONS, 60_000);
      fixture.time.advance(20);
    }
    final int before = fixture.running.size();
    fixture.time.advance(1_000);
    for (int step = 0; step < 400; step++) {
      fixture.own(1, 1_000);
      fixture.tryStart(step % DAEMONS, 60_000);
      fixture.time.advance(20);
    }
    assertEquals(before, 2);
    assertEquals(fixture.running.size(), 2);
  }

  @Test
  public void permitExpiresWithTheLeaseUnderWhichItWasIssued() {
    AdmissionFixture fixture = new AdmissionFixture(DAEMONS, 1);
    fixture.own(0, 60_000);
    fixture.time.advance(2_000);
    fixture.fleet.get(3).tryEnter(ENGINE);
    fixture.time.advance(1_500);
    fixture.own(0, 1_000);
    fixture.fleet.get(3).tryEnter(ENGINE);
    fixture.time.advance(1_000);
    assertFalse(fixture.fleet.get(3).tryEnter(ENGINE));
  }

  @Test
  public void failureLowersTheLevel() {
    ColdUpstream upstream = new ColdUpstream(8, 1, 1, AdmissionSettings.DEFAULTS, 0);
    assertEquals(upstream.level(), 2);
    upstream.recordOutcomes(2, 0);
    assertEquals(upstream.level(), 4);
    upstream.recordOutcomes(0, 1);
    assertEquals(upstream.level(), 2);
  }

  @Test
  public void upstreamWithoutColdLimitIsNotLimited() {
    AdmissionFixture fixture = new AdmissionFixture(1, 1);
    fixture.fleet.getFirst().setColdLimits(Map.of());
    assertTrue(fixture.fleet.getFirst().tryEnter(ENGINE));
  }
}
