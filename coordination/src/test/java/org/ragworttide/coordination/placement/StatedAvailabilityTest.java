package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what upstreams state of themselves, alone and in fleets that replay load. */
public class StatedAvailabilityTest {
  private static final long NOW = 1_000;
  private static final long SECOND = 1_000;

  private static StatedAvailability availability() {
    return new StatedAvailability(7, new FleetMembers());
  }

  @Test
  public void leavingUpstreamServesForMomentOnlyIfNoOtherCan() {
    StatedAvailability availability = availability();
    assertTrue(availability.recordLeaving(NOW));
    assertFalse(availability.recordLeaving(NOW + 500));
    assertFalse(availability.admits(NOW));
    assertTrue(availability.admitsAsLastResort(NOW + StatedAvailability.LEAVING_GRACE_MILLIS - 1));
    assertFalse(availability.admitsAsLastResort(NOW + StatedAvailability.LEAVING_GRACE_MILLIS));
    assertFalse(availability.admitsAsLastResort(NOW + 3_600 * SECOND));
  }

  /** Pauses in milliseconds, with the shortest and longest time in which they are in force. */
  @DataProvider
  public Object[][] pauses() {
    long max = StatedAvailability.MAX_PAUSE_MILLIS;
    return new Object[][] {
      {0L, 0L, 0L},
      {-5_000L, 0L, 0L},
      {1L, 1L, 1L},
      {4_000L, 4_000L, 5_000L},
      {max, max, max + StatedAvailability.MAX_ADDED_MILLIS},
      {max + 1, max, max + StatedAvailability.MAX_ADDED_MILLIS},
      {Long.MAX_VALUE, max, max + StatedAvailability.MAX_ADDED_MILLIS},
    };
  }

  @Test(dataProvider = "pauses")
  public void pauseLastsAsStatedButIsBounded(long millis, long least, long most) {
    StatedAvailability availability = availability();
    assertEquals(availability.recordPause(millis, NOW), least > 0);
    long remaining = availability.remainingPauseMillis(NOW).orElse(0);
    assertTrue(remaining >= least && remaining <= most, "remaining " + remaining);
    assertEquals(availability.admits(NOW), least == 0);
    assertTrue(availability.admits(NOW + remaining));
  }

  @Test
  public void laterStatementDoesNotShortenPause() {
    StatedAvailability availability = availability();
    availability.recordPause(10 * SECOND, NOW);
    assertFalse(availability.recordPause(SECOND, NOW + SECOND));
    assertFalse(availability.admits(NOW + 10 * SECOND - 1));
  }

  @Test
  public void requestsThatNoOtherUpstreamCanServeAreSentRightAfterThePause() {
    StatedAvailability availability = availability();
    availability.recordPause(4 * SECOND, NOW);
    long end = NOW + availability.remainingPauseMillis(NOW).getAsLong();
    assertFalse(availability.admitsAsLastResort(end - 1));
    availability.recordRequest(end);
    assertFalse(availability.admits(end + 1));
    assertTrue(availability.admitsAsLastResort(end + 1));
  }

  @Test
  public void requestsReturnWithinTheLengthOfShortPause() {
    StatedAvailability availability = availability();
    availability.recordPause(100, NOW);
    long end = NOW + availability.remainingPauseMillis(NOW).getAsLong();
    availability.recordRequest(end + 100);
    assertTrue(availability.admits(end + 100));
  }

  @Test
  public void entryThatIsPublishedAgainInheritsStatements() {
    StatedAvailability earlier = availability();
    earlier.recordLeaving(NOW);
    earlier.recordPause(4 * SECOND, NOW);
    StatedAvailability later = availability();
    later.inherit(earlier);
    assertTrue(later.isLeaving());
    assertTrue(later.remainingPauseMillis(NOW + 3 * SECOND).isPresent());
  }

  @Test
  public void allThreeStatementsHoldAtTheSameTime() {
    StatedAvailability availability = availability();
    availability.recordLeaving(NOW);
    availability.recordPause(500, NOW);
    availability.recordLimit(new RequestLimit(OptionalDouble.of(1), NOW), NOW);
    assertFalse(availability.admitsAsLastResort(NOW + 499));
    assertTrue(availability.admitsAsLastResort(NOW + 900));
    availability.recordRequest(NOW + 900);
    assertFalse(availability.admitsAsLastResort(NOW + 901));
    assertEquals(availability.waitMillis(NOW + 901), 999);
    availability.recordLimit(new RequestLimit(OptionalDouble.empty(), NOW + 902), NOW + 902);
    assertTrue(availability.admitsAsLastResort(NOW + 902));
    assertFalse(availability.admits(NOW + 902));
    assertTrue(availability.isStated(NOW + 902));
  }

  @Test
  public void entryThatIsPublishedAgainInheritsItsLimit() {
    StatedAvailability earlier = availability();
    earlier.recordLimit(new RequestLimit(OptionalDouble.of(1), NOW), NOW);
    earlier.recordRequest(NOW);
    StatedAvailability later = availability();
    later.inherit(earlier);
    assertFalse(later.admitsAsLastResort(NOW + 999));
    assertTrue(later.admits(NOW + 1_000));
  }

  /** Numbers of VMs. */
  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{7}, {95}, {345}};
  }

  /** One VM's view of three upstreams, with a clock of its own. */
  private static final class Vm {
    private final List<UpstreamLoad> upstreams = PlacementFixture.engines(3);
    private final ServicePlacement placement;
    private final long clockMillis;
    private long statedAtMillis = Long.MAX_VALUE;

    private Vm(SplittableRandom random) {
      this.placement = new ServicePlacement(upstreams.get(0).zone(), random.split());
      this.clockMillis = random.nextLong(1_000_000);
    }

    private Optional<UpstreamLoad> choose(long nowMillis) {
      return placement.choose(upstreams, clockMillis + nowMillis);
    }

    private UpstreamLoad troubled() {
      return upstreams.get(0);
    }
  }

  private static List<Vm> vms(int count, SplittableRandom random) {
    List<Vm> vms = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      vms.add(new Vm(random));
    }
    return vms;
  }

  @Test(dataProvider = "fleets")
  public void fleetLeavesAnUpstreamAtItsFirstStatement(int count) {
    SplittableRandom random = new SplittableRandom(20261205);
    List<Vm> vms = vms(count, random);
    int late = 0;
    int served = 0;
    int requests = 0;
    for (long now = 0; now < 20 * SECOND; now += 10) {
      Vm vm = vms.get(random.nextInt(count));
      Optional<UpstreamLoad> chosen = vm.choose(now);
      requests++;
      served += chosen.isPresent() ? 1 : 0;
      if (chosen.isPresent() && chosen.get() == vm.troubled()) {
        late += now > vm.statedAtMillis ? 1 : 0;
        if (now > SECOND) {
          vm.statedAtMillis = Math.min(vm.statedAtMillis, now);
          vm.troubled().availability().recordLeaving(vm.clockMillis + now);
        }
      }
    }
    assertEquals(late, 0);
    assertEquals(served, requests);
  }

  @Test(dataProvider = "fleets")
  public void fleetReturnsGraduallyAfterPause(int count) {
    SplittableRandom random = new SplittableRandom(20261205);
    List<Vm> vms = vms(count, random);
    long pauseMillis = 4 * SECOND;
    vms.forEach(
        vm -> vm.troubled().availability().recordPause(pauseMillis, vm.clockMillis + 2 * SECOND));
    Map<Long, Integer> sentInTenth = new HashMap<>();
    for (long now = 2 * SECOND; now < 12 * SECOND; now += 20) {
      for (Vm vm : vms) {
        StatedAvailability availability = vm.troubled().availability();
        if (availability.admits(vm.clockMillis + now)) {
          availability.recordRequest(vm.clockMillis + now);
          sentInTenth.merge(now / 100, 1, Integer::sum);
        }
      }
    }
    int fullRate = count * 5;
    for (long tenth = 20; tenth < 60; tenth++) {
      assertEquals(sentInTenth.getOrDefault(tenth, 0).intValue(), 0, "within the pause");
    }
    for (long tenth = 60; tenth < 65; tenth++) {
      int sent = sentInTenth.getOrDefault(tenth, 0);
      assertTrue(sent <= fullRate / 4, sent + " of " + fullRate + " in tenth " + tenth);
    }
    assertEquals(sentInTenth.get(100L).intValue(), fullRate);
  }

  @Test(dataProvider = "fleets")
  public void sessionsOfLeavingEngineAreSpreadOverTheOthers(int count) {
    Map<UpstreamId, Integer> taken = new HashMap<>();
    int moved = 0;
    for (int vm = 0; vm < count; vm++) {
      List<UpstreamLoad> engines = PlacementFixture.engines(13);
      EnginePlacement placement = PlacementFixture.placement();
      for (int i = 0; i < 2_000 / count + 1; i++) {
        int session = vm + count * i;
        Prompt prompt = PlacementFixture.prompt(session, session, 0);
        UpstreamLoad home = placement.choose(prompt, engines, engines, true, NOW).orElseThrow();
        if (home == engines.get(0)) {
          home.availability().recordLeaving(NOW);
          UpstreamLoad next = placement.choose(prompt, engines, engines, true, NOW).orElseThrow();
          taken.merge(next.id(), 1, Integer::sum);
          moved++;
          engines = PlacementFixture.engines(13);
        }
      }
    }
    assertFalse(taken.containsKey(PlacementFixture.engines(13).get(0).id()));
    assertTrue(taken.size() >= 10, "moved to " + taken);
    int most = taken.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertTrue(most <= moved / 4, most + " of " + moved + " moved to one engine");
  }
}
