package org.ragworttide.coordination.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a fleet finds out which prompt part crashes engines, and holds back no sound requests,
 * in fleets of 7, 95 and 345 VMs.
 */
public class CrashingFleetTest {
  /** Fatal requests that the users allow later than the stable time after the fifth crash. */
  private static final int MAX_LATE_SENDS = 3;

  /** Share of sound requests that may be held back. */
  private static final double MAX_HELD_BACK_SHARE = 0.01;

  private static final double SOUND_PER_SECOND_AND_VM = 4;
  private static final long FATAL_MILLIS = 25_000;
  private static final long WARM_UP_MILLIS = 3_000;

  /** Time in which engines are back and all VMs know of their crashes. */
  private static final long SETTLED_MILLIS = 5_000;

  /** Size of the fleet, its engines, the stable time, fatal requests per second, and a seed. */
  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      {7, 13, 3_000L, 0.3, 1L},
      {7, 13, 3_000L, 1.0, 2L},
      {7, 13, 3_000L, 1.0, 3L},
      {7, 13, 3_000L, 5.0, 4L},
      {95, 74, 5_000L, 0.5, 5L},
      {95, 74, 5_000L, 5.0, 6L},
      {95, 74, 5_000L, 15.0, 7L},
      {345, 600, 5_000L, 1.0, 8L},
      {345, 600, 5_000L, 30.0, 9L},
    };
  }

  private static CrashingFleet fleet(int size, int engines, long seed) {
    CrashingFleet fleet = new CrashingFleet(size, engines, seed);
    fleet.sendSound(SOUND_PER_SECOND_AND_VM * size);
    fleet.time.advance(WARM_UP_MILLIS);
    return fleet;
  }

  private static void check(CrashingFleet fleet, long stableMillis) {
    assertTrue(fleet.crashes() >= 3, fleet.crashes() + " crashes");
    long late = fleet.fatalSendsLaterThan(stableMillis);
    assertTrue(late <= MAX_LATE_SENDS, late + " late sends, " + fleet.crashes() + " crashes");
    assertTrue(
        fleet.heldBackSoundShare() <= MAX_HELD_BACK_SHARE,
        fleet.heldBackSoundShare() + " of the sound requests were held back");
  }

  @Test(dataProvider = "fleets")
  public void fatalPartIsQuarantinedOnAllVms(
      int size, int engines, long stableMillis, double perSecond, long seed) {
    CrashingFleet fleet = fleet(size, engines, seed);
    fleet.sendFatal(1, perSecond, FATAL_MILLIS);
    fleet.time.advance(FATAL_MILLIS);
    check(fleet, stableMillis);
  }

  @Test(dataProvider = "fleets")
  public void fatalPartIsQuarantinedAlthoughStatementsAreLost(
      int size, int engines, long stableMillis, double perSecond, long seed) {
    CrashingFleet fleet = fleet(size, engines, seed);
    fleet.setLossShare(0.3);
    fleet.sendFatal(1, perSecond, FATAL_MILLIS);
    fleet.time.advance(FATAL_MILLIS);
    check(fleet, stableMillis);
  }

  @Test(dataProvider = "fleets")
  public void twoHalvesLearnFromEachOtherOverOneVm(
      int size, int engines, long stableMillis, double perSecond, long seed) {
    CrashingFleet fleet = fleet(size, engines, seed);
    fleet.setLink((from, to) -> from == 0 || to == 0 || from % 2 == to % 2);
    fleet.sendFatal(1, perSecond, FATAL_MILLIS);
    fleet.time.advance(FATAL_MILLIS);
    check(fleet, stableMillis);
  }

  @Test(dataProvider = "fleets")
  public void twoFatalPartsAreQuarantined(
      int size, int engines, long stableMillis, double perSecond, long seed) {
    CrashingFleet fleet = fleet(size, engines, seed);
    fleet.sendFatal(1, perSecond, FATAL_MILLIS);
    fleet.sendFatal(2, perSecond, FATAL_MILLIS);
    fleet.time.advance(FATAL_MILLIS);
    assertTrue(fleet.heldBackSoundShare() <= MAX_HELD_BACK_SHARE);
    final int before = fleet.crashes();
    fleet.sendFatal(1, perSecond, FATAL_MILLIS);
    fleet.sendFatal(2, perSecond, FATAL_MILLIS);
    fleet.time.advance(FATAL_MILLIS);
    assertTrue(fleet.crashes() - before <= MAX_LATE_SENDS, fleet.crashes() + " crashes");
  }

  @Test(dataProvider = "fleets")
  public void restartedVmsLearnOfQuarantineFromTheOthers(
      int size, int engines, long stableMillis, double perSecond, long seed) {
    CrashingFleet fleet = fleet(size, engines, seed);
    fleet.sendFatal(1, perSecond, 2 * FATAL_MILLIS);
    fleet.time.advance(FATAL_MILLIS);
    for (int first = 0; first < size; first += 3) {
      fleet.restartVms(first, Math.min(size, first + 3));
      fleet.time.advance(FATAL_MILLIS / size);
    }
    check(fleet, stableMillis);
  }

  @Test(dataProvider = "fleets")
  public void fatalPartIsFoundAgainAfterAllVmsHaveRestarted(
      int size, int engines, long stableMillis, double perSecond, long seed) {
    CrashingFleet fleet = fleet(size, engines, seed);
    fleet.sendFatal(1, perSecond, 2 * FATAL_MILLIS);
    fleet.time.advance(FATAL_MILLIS);
    fleet.restartVms(0, size);
    fleet.time.advance(FATAL_MILLIS);
    check(fleet, stableMillis);
  }

  @Test(dataProvider = "fleets")
  public void enginesThatFailTogetherRaiseNoQuarantine(
      int size, int engines, long stableMillis, double perSecond, long seed) {
    CrashingFleet fleet = fleet(size, engines, seed);
    fleet.crashTogether(0.4);
    fleet.time.advance(SETTLED_MILLIS);
    fleet.crashTogether(0.4);
    fleet.time.advance(SETTLED_MILLIS);
    fleet.crashTogether(1);
    fleet.time.advance(SETTLED_MILLIS);
    assertEquals(fleet.heldBackSoundShare(), 0.0);
  }
}
