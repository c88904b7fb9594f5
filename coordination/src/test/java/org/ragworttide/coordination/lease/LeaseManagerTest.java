package org.ragworttide.coordination.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.net.FailureInjector;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.net.Seeds;
import org.testng.annotations.Test;

/**
 * Tests that a shard has at most one owner after every step of runs with failures, and that every
 * VM finds the owners.
 */
public class LeaseManagerTest {
  private static final String[] SEVEN_VMS = {"a", "b", "c", "d", "e", "f", "g"};
  private static final String[] TWELVE_VMS = {
    "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"
  };
  private static final long STEP_MILLIS = 10;

  @Test
  public void everyShardGetsAnOwnerWithoutFailures() {
    Fleet<LeaseManager> fleet = LeaseFleet.create(1, SEVEN_VMS);
    fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
    assertEquals(LeaseFleet.countOwned(fleet), Shard.COUNT);
  }

  @Test
  public void ownersNeverOverlapUnderRandomFailures() {
    Seeds.each(
        seed -> {
          Fleet<LeaseManager> fleet = LeaseFleet.create(seed, SEVEN_VMS);
          fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
          fleet.network().faults(0.1, 0.1, 60);
          FailureInjector chaos = new FailureInjector(fleet);
          for (int round = 0; round < 60; round++) {
            chaos.injectFailure();
            fleet.run(fleet.random().nextInt(200), STEP_MILLIS, LeaseFleet::checkOwners);
          }
          chaos.endFailures();
          fleet.run(2 * LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
          assertEquals(LeaseFleet.countOwned(fleet), Shard.COUNT);
        });
  }

  @Test
  public void everyVmLearnsEachOwnerAfterTheFailuresEnd() {
    Seeds.each(
        seed -> {
          Fleet<LeaseManager> fleet = LeaseFleet.create(seed, SEVEN_VMS);
          fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
          final FailureInjector chaos = new FailureInjector(fleet);
          fleet.network().faults(0.1, 0.1, 60);
          for (int round = 0; round < 60; round++) {
            chaos.injectFailure();
            fleet.run(fleet.random().nextInt(200), STEP_MILLIS, LeaseFleet::checkOwners);
          }
          chaos.endFailures();
          fleet.run(4 * LeaseFleet.START_MILLIS, 50, LeaseFleet::lookUpAll);
          Set<String> unresolved = new HashSet<>();
          fleet.vms().forEach(vm -> addAllShards(unresolved, vm));
          fleet.run(
              LeaseFleet.START_MILLIS, 50, now -> unresolved.removeAll(LeaseFleet.lookUpAll(now)));
          assertEquals(unresolved, Set.of(), "VMs that never learned the owner of a shard");
        });
  }

  private static void addAllShards(Set<String> names, VmId vm) {
    IntStream.range(0, Shard.COUNT).forEach(shard -> names.add(vm + "/" + shard));
  }

  @Test
  public void everyShardHasAnOwnerAfterOneVmIsReplaced() {
    Seeds.each(
        seed -> {
          Fleet<LeaseManager> fleet = LeaseFleet.create(seed, SEVEN_VMS);
          fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
          fleet.publish("b", "c", "d", "e", "f", "g", "h");
          fleet.adoptAll();
          fleet.run(3 * 800, STEP_MILLIS, LeaseFleet::checkOwners);
          assertEquals(LeaseFleet.countOwned(fleet), Shard.COUNT);
        });
  }

  @Test
  public void everyShardGetsOneOwnerAgainAfterAllVmsRestart() {
    Seeds.each(
        seed -> {
          Fleet<LeaseManager> fleet = LeaseFleet.create(seed, SEVEN_VMS);
          fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
          fleet.vms().forEach(vm -> fleet.restart(vm, 1));
          assertEquals(LeaseFleet.countOwned(fleet), 0);
          fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
          assertEquals(LeaseFleet.countOwned(fleet), Shard.COUNT);
        });
  }

  @Test
  public void partitionedMinorityGetsNoLeaseAndTheMajorityTakesOver() {
    Fleet<LeaseManager> fleet = LeaseFleet.create(5, "a", "b", "c", "d", "e");
    fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
    for (String inside : new String[] {"a", "b"}) {
      for (String outside : new String[] {"c", "d", "e"}) {
        fleet.network().cut(new VmId(inside), new VmId(outside), true);
        fleet.network().cut(new VmId(outside), new VmId(inside), true);
      }
    }
    fleet.run(6 * 800, STEP_MILLIS, LeaseFleet::checkOwners);
    assertTrue(fleet.stateMachine(new VmId("a")).owned().isEmpty());
    assertEquals(LeaseFleet.countOwned(fleet), Shard.COUNT);
  }

  @Test
  public void stoppedVmHandsOverItsLeasesBeforeTheyExpire() {
    Fleet<LeaseManager> fleet = LeaseFleet.create(7, SEVEN_VMS);
    fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
    fleet.stateMachine(new VmId("a")).stop();
    assertTrue(fleet.stateMachine(new VmId("a")).owned().isEmpty());
    fleet.run(600, STEP_MILLIS, LeaseFleet::checkOwners);
    assertEquals(LeaseFleet.countOwned(fleet), Shard.COUNT);
  }

  @Test
  public void everyVmFindsTheOwnersAfterThePreferredOwnerHasRestarted() {
    Fleet<LeaseManager> fleet = LeaseFleet.create(9, SEVEN_VMS);
    fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
    VmId restarted = new VmId("a");
    List<Shard> owned = fleet.stateMachine(restarted).owned();
    fleet.restart(restarted, 1);
    fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
    assertTrue(
        owned.stream().anyMatch(shard -> !fleet.stateMachine(restarted).isOwner(shard)),
        "no owner has changed");
    assertEquals(countWrongLookups(fleet), 0);
    fleet.run(900, STEP_MILLIS, LeaseFleet::checkOwners);
    assertEquals(countWrongLookups(fleet), 0);
  }

  @Test
  public void everyVmFindsTheOwnersWithoutAnEarlierLookup() {
    Fleet<LeaseManager> fleet = LeaseFleet.create(11, TWELVE_VMS);
    fleet.run(2 * LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
    assertEquals(countWrongLookups(fleet), 0);
  }

  @Test
  public void everyVmFindsTheOwnersLongAfterTheLastLookup() {
    Fleet<LeaseManager> fleet = LeaseFleet.create(12, TWELVE_VMS);
    fleet.run(2 * LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
    countWrongLookups(fleet);
    fleet.run(100 * LeaseFleet.START_MILLIS, 100, LeaseFleet::checkOwners);
    assertEquals(countWrongLookups(fleet), 0);
  }

  @Test
  public void newVmListKeepsTheHintsOfOwnersThatRemain() {
    Fleet<LeaseManager> fleet = LeaseFleet.create(13, TWELVE_VMS);
    fleet.run(2 * LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
    fleet.publish("b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m");
    fleet.adoptAll();
    for (VmId vm : fleet.vms().subList(0, 11)) {
      List<Shard> remaining = fleet.stateMachine(vm).owned();
      assertTrue(remaining.size() > 0, "no shard remains at " + vm);
      fleet.vms().stream()
          .filter(other -> !other.equals(new VmId("m")))
          .forEach(other -> remaining.forEach(shard -> assertOwner(fleet, other, shard, vm)));
    }
    fleet.run(2 * LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
    assertEquals(countWrongLookups(fleet), 0);
  }

  private static void assertOwner(Fleet<LeaseManager> fleet, VmId asked, Shard shard, VmId owner) {
    assertEquals(
        fleet.stateMachine(asked).ownerOf(shard).orElseThrow(), owner, asked + " on " + shard);
  }

  private static long countWrongLookups(Fleet<LeaseManager> fleet) {
    return fleet.vms().stream().mapToLong(vm -> countWrongLookups(fleet, vm)).sum();
  }

  private static long countWrongLookups(Fleet<LeaseManager> fleet, VmId vm) {
    return IntStream.range(0, Shard.COUNT)
        .mapToObj(Shard::new)
        .filter(
            shard -> {
              VmId owner = fleet.stateMachine(vm).ownerOf(shard).orElseThrow();
              return !fleet.vms().contains(owner) || !fleet.stateMachine(owner).isOwner(shard);
            })
        .count();
  }
}
