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

/** Tests that a lease passes on only when what was handed out under it is over. */
public class LeaseUseTest {
  private static final long IN_USE_MILLIS = 500;
  private static final long STEP_MILLIS = 20;
  private static final long MAX_CLOCK_RATE_MILLIS = 10;

  @Test
  public void leaseGivenUpWhileInUseHasNoOwnerUntilTheUseIsOver() {
    Seeds.each(
        seed -> {
          Fleet<LeaseManager> fleet = new Fleet<>(seed, new InUse());
          fleet.publish("vm-1", "vm-2", "vm-3", "vm-4", "vm-5");
          fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, any -> {});
          LeaseManager stopping = fleet.part(new VmId("vm-1"));
          Set<Shard> given = new HashSet<>(stopping.owned());
          assertTrue(given.size() > 0, "vm-1 owned nothing");
          stopping.stop();
          assertEquals(stopping.owned(), List.of());
          long quietMillis = IN_USE_MILLIS - MAX_CLOCK_RATE_MILLIS - STEP_MILLIS;
          fleet.run(
              quietMillis, STEP_MILLIS, any -> assertEquals(ownersOf(fleet, given), Set.of()));
          fleet.run(LeaseFleet.START_MILLIS, STEP_MILLIS, LeaseFleet::checkOwners);
          assertEquals(ownersOf(fleet, given), given);
        });
  }

  private static Set<Shard> ownersOf(Fleet<LeaseManager> fleet, Set<Shard> shards) {
    Set<Shard> owned = new HashSet<>();
    fleet.vms().forEach(vm -> owned.addAll(fleet.part(vm).owned()));
    owned.retainAll(shards);
    return owned;
  }

  /** Makes lease managers under whose leases something is always in use for a while. */
  private static final class InUse implements Fleet.Factory<LeaseManager> {
    private final LeaseFleet usual = new LeaseFleet();

    @Override
    public LeaseManager create(
        VmId vm, Incarnation incarnation, NodeTimers timers, Transport transport) {
      return new LeaseManager(
          vm,
          incarnation,
          timers,
          transport,
          LeaseFleet.SETTINGS,
          shard -> timers.nowMillis() + IN_USE_MILLIS);
    }

    @Override
    public void adopt(LeaseManager manager, VmList list) {
      usual.adopt(manager, list);
    }

    @Override
    public void deliver(LeaseManager manager, VmId from, PeerMessage message) {
      usual.deliver(manager, from, message);
    }
  }
}
