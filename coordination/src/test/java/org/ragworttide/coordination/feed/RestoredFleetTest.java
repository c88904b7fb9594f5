package org.ragworttide.coordination.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragworttide.coordination.feed.FeedFleet.StoreState;
import org.ragworttide.coordination.feed.FeedFleet.Vm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that every VM knows each change in time, and that no configuration goes back, when the
 * store returns from an older copy of itself, in fleets of 7, 95 and 345 VMs.
 */
public class RestoredFleetTest {
  private static final String CONFIGURATION = NumberedItems.CONFIGURATION;

  /** The shortest time limit of the users for applying a change, in milliseconds. */
  private static final long APPLY_LIMIT_MILLIS = 2_000;

  /** The users' limit for VMs that the store refuses while it serves others, in milliseconds. */
  private static final long REFUSED_LIMIT_MILLIS = APPLY_LIMIT_MILLIS + 5_000;

  /** The time after its start from which a VM must keep to the time limits, in milliseconds. */
  private static final long STABLE_MILLIS = 3_000;

  private static final long SETTLED_MILLIS = 6_000;

  /** Sizes of the fleet, and changes after the copy: written before it is lost and after. */
  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      {7, 3, 0},
      {7, 3, 1},
      {7, 3, 3},
      {7, 3, 9},
      {95, 5, 2},
      {95, 5, 5},
      {95, 5, 20},
      {345, 4, 1},
      {345, 4, 4},
      {345, 4, 12}
    };
  }

  /** Returns a fleet whose store is away; it has lost the changes since the returned copy. */
  private static FeedFleet.Copy loseStore(FeedFleet fleet, int lost) {
    fleet.advance(SETTLED_MILLIS);
    final FeedFleet.Copy copy = fleet.copy();
    for (int i = 0; i < lost; i++) {
      fleet.millisUntilKnown(fleet.change(CONFIGURATION), fleet.running(), APPLY_LIMIT_MILLIS);
    }
    fleet.vms.forEach(vm -> vm.store = StoreState.REFUSES);
    fleet.advance(2_000);
    fleet.takeCalls();
    return copy;
  }

  private static void returnStore(FeedFleet fleet, FeedFleet.Copy copy, int writes) {
    fleet.restore(copy);
    for (int i = 0; i < writes; i++) {
      fleet.change("other");
    }
    fleet.vms.forEach(vm -> vm.store = StoreState.SERVES);
  }

  @Test(dataProvider = "fleets")
  public void changeAfterTheReturnIsKnownInTime(int size, int lost, int writes) {
    FeedFleet fleet = new FeedFleet(size, size + writes);
    FeedFleet.Copy copy = loseStore(fleet, lost);
    returnStore(fleet, copy, writes);
    for (int i = 0; i < 5; i++) {
      fleet.millisUntilKnown(fleet.change(CONFIGURATION), fleet.running(), APPLY_LIMIT_MILLIS);
      fleet.advance(300);
    }
    long calls = fleet.takeCalls();
    assertTrue(calls <= 8L * size + 100, calls + " calls of " + size + " VMs");
    fleet.advance(SETTLED_MILLIS);
    assertEquals(fleet.readers().size(), FeedTree.READERS);
  }

  @Test(dataProvider = "fleets")
  public void configurationThatIsNotWrittenAgainStaysInForceOnAllVms(
      int size, int lost, int writes) {
    FeedFleet fleet = new FeedFleet(size, size + writes);
    FeedFleet.Copy copy = loseStore(fleet, lost);
    final long inForce = fleet.vms.getFirst().configuration();
    returnStore(fleet, copy, writes);
    fleet.advance(SETTLED_MILLIS);
    fleet.change("other");
    fleet.advance(APPLY_LIMIT_MILLIS);
    fleet.running().forEach(vm -> assertEquals(vm.configuration(), inForce, "VM " + vm.index));
  }

  /** Guards against an older configuration on VMs that have nothing to compare it with. */
  @Test(dataProvider = "fleets")
  public void vmsThatStartAfterTheReturnLearnTheConfigurationFromOthers(
      int size, int lost, int writes) {
    FeedFleet fleet = new FeedFleet(size, size + writes);
    FeedFleet.Copy copy = loseStore(fleet, lost);
    final long inForce = fleet.vms.getFirst().configuration();
    List<Vm> restarted = restartReadersAndOthers(fleet);
    returnStore(fleet, copy, writes);
    restarted.forEach(Vm::start);
    fleet.advance(STABLE_MILLIS);
    restarted.forEach(vm -> assertEquals(vm.configuration(), inForce, "VM " + vm.index));
    fleet.millisUntilKnown(fleet.change(CONFIGURATION), fleet.running(), APPLY_LIMIT_MILLIS);
  }

  /** Kills the readers and each fifth VM. */
  private static List<Vm> restartReadersAndOthers(FeedFleet fleet) {
    List<Vm> readers = fleet.readers();
    List<Vm> restarted =
        fleet.vms.stream().filter(vm -> vm.index % 5 == 2 || readers.contains(vm)).toList();
    restarted.forEach(Vm::kill);
    return restarted;
  }

  @Test(dataProvider = "fleets")
  public void vmsThatTheStoreStillRefusesLearnFromTheOthers(int size, int lost, int writes) {
    FeedFleet fleet = new FeedFleet(size, size + writes);
    FeedFleet.Copy copy = loseStore(fleet, lost);
    returnStore(fleet, copy, writes);
    fleet.vms.stream().filter(vm -> vm.index % 3 != 0).forEach(vm -> vm.store = StoreState.REFUSES);
    for (int i = 0; i < 5; i++) {
      fleet.millisUntilKnown(fleet.change(CONFIGURATION), fleet.running(), REFUSED_LIMIT_MILLIS);
      fleet.advance(300);
    }
  }

  /** Guards against VMs that noticed no outage and hear of the return from others only. */
  @Test(dataProvider = "fleets")
  public void storeThatReturnsBetweenTwoCallsIsNoticed(int size, int lost, int writes) {
    FeedFleet fleet = new FeedFleet(size, size + writes);
    fleet.advance(SETTLED_MILLIS);
    final FeedFleet.Copy copy = fleet.copy();
    for (int i = 0; i < lost; i++) {
      fleet.millisUntilKnown(fleet.change(CONFIGURATION), fleet.running(), APPLY_LIMIT_MILLIS);
    }
    returnStore(fleet, copy, writes);
    fleet.millisUntilKnown(fleet.change(CONFIGURATION), fleet.running(), APPLY_LIMIT_MILLIS);
  }

  /** Guards against an older configuration on VMs that were cut off before the store was lost. */
  @Test(dataProvider = "fleets")
  public void vmsThatMissedTheLastChangesLearnThemFromOthers(int size, int lost, int writes) {
    FeedFleet fleet = new FeedFleet(size, size + writes);
    fleet.advance(SETTLED_MILLIS);
    List<Vm> cut =
        fleet.vms.stream().filter(vm -> vm.index % 4 == 1 || vm == fleet.readers().get(0)).toList();
    cut.forEach(vm -> vm.store = StoreState.SILENT);
    fleet.setLink((from, to) -> !cut.contains(from) && !cut.contains(to));
    List<Vm> inTouch = fleet.running().stream().filter(vm -> !cut.contains(vm)).toList();
    fleet.advance(SETTLED_MILLIS);
    final FeedFleet.Copy copy = fleet.copy();
    for (int i = 0; i < lost; i++) {
      fleet.millisUntilKnown(fleet.change(CONFIGURATION), inTouch, APPLY_LIMIT_MILLIS);
    }
    final long inForce = inTouch.getFirst().configuration();
    fleet.setLink((from, to) -> true);
    returnStore(fleet, copy, writes);
    // The VMs that know the changes notice the return later than the others.
    inTouch.forEach(vm -> vm.store = StoreState.REFUSES);
    fleet.advance(600);
    inTouch.forEach(vm -> vm.store = StoreState.SERVES);
    fleet.advance(STABLE_MILLIS);
    fleet.running().forEach(vm -> assertEquals(vm.configuration(), inForce, "VM " + vm.index));
  }
}
