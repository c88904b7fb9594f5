package org.ragworttide.coordination.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.net.NodeTimers;
import org.ragworttide.coordination.net.Seeds;
import org.testng.annotations.Test;

/**
 * Tests that a relinquished lease passes to another VM only after the rights derived from it have
 * expired.
 */
public class RightsExpiryTest {
  private static final long RIGHTS_VALID_MILLIS = 500;
  private static final long STEP_MILLIS = 20;
  private static final long MAX_CLOCK_DRIFT_MILLIS = 10;

  @Test
  public void relinquishedShardHasNoOwnerUntilTheDerivedRightsHaveExpired() {
    Seeds.each(
        seed -> {
          Fleet<LeaseManager> fleet = new Fleet<>(seed, new ManagerWithRightsFactory());
          fleet.publish("vm-1", "vm-2", "vm-3", "vm-4", "vm-5");
          fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, any -> {});
          LeaseManager stopping = fleet.stateMachine(new VmId("vm-1"));
          Set<Shard> relinquished = new HashSet<>(stopping.owned());
          assertTrue(relinquished.size() > 0, "vm-1 owned nothing");
          stopping.stop();
          assertEquals(stopping.owned(), List.of());
          long ownerlessMillis = RIGHTS_VALID_MILLIS - MAX_CLOCK_DRIFT_MILLIS - STEP_MILLIS;
          fleet.run(
              ownerlessMillis,
              STEP_MILLIS,
              any -> assertEquals(ownersOf(fleet, relinquished), Set.of()));
          fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
          assertEquals(ownersOf(fleet, relinquished), relinquished);
        });
  }

  private static Set<Shard> ownersOf(Fleet<LeaseManager> fleet, Set<Shard> shards) {
    Set<Shard> owned = new HashSet<>();
    fleet.vms().forEach(vm -> owned.addAll(fleet.stateMachine(vm).owned()));
    owned.retainAll(shards);
    return owned;
  }

  /**
   * Creates lease managers for which the rights derived from a lease always expire a fixed time
   * from now.
   */
  private static final class ManagerWithRightsFactory implements Fleet.Factory<LeaseManager> {
    private final LeaseFleet delegate = new LeaseFleet();

    @Override
    public LeaseManager create(
        VmId vm, Incarnation incarnation, NodeTimers timers, Transport transport) {
      return new LeaseManager(
          vm,
          incarnation,
          timers,
          transport,
          LeaseFleet.SETTINGS,
          shard -> timers.nowMillis() + RIGHTS_VALID_MILLIS);
    }

    @Override
    public void adopt(LeaseManager manager, VmList list) {
      delegate.adopt(manager, list);
    }

    @Override
    public void deliver(LeaseManager manager, VmId from, PeerMessage message) {
      delegate.deliver(manager, from, message);
    }
  }
}
