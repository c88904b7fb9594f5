package org.ragworttide.coordination.lease;

import static org.testng.Assert.assertNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.group.GroupSize;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.net.NodeTimers;

/** Creates fleets of lease managers for tests; stateless. */
final class LeaseFleet implements Fleet.Factory<LeaseManager> {
  static final LeaseSettings SETTINGS = new LeaseSettings(GroupSize.FIVE, 800, 100);
  static final long START_MILLIS = 5 * 800;

  static Fleet<LeaseManager> create(long seed, String... vms) {
    Fleet<LeaseManager> fleet = new Fleet<>(seed, new LeaseFleet());
    fleet.publish(vms);
    return fleet;
  }

  @Override
  public LeaseManager create(
      VmId vm, Incarnation incarnation, NodeTimers timers, Transport transport) {
    return new LeaseManager(vm, incarnation, timers, transport, SETTINGS);
  }

  @Override
  public void adopt(LeaseManager manager, VmList list) {
    manager.adopt(list);
  }

  @Override
  public void deliver(LeaseManager manager, VmId from, PeerMessage message) {
    switch (message) {
      case LeaseMessage lease -> manager.onMessage(from, lease);
      case GroupMessage group -> manager.onGroupMessage(from, group);
      default -> throw new IllegalStateException("unexpected " + message);
    }
  }

  /** Checks that no shard has more than one owner. */
  static void checkOwners(Fleet<LeaseManager> fleet) {
    Map<Shard, VmId> owners = new HashMap<>();
    for (VmId vm : fleet.vms()) {
      for (Shard shard : fleet.stateMachine(vm).owned()) {
        VmId other = owners.put(shard, vm);
        assertNull(other, "two owners of " + shard + ": " + vm + " and " + other);
      }
    }
  }

  /**
   * Looks up the owner of each shard at each VM and returns the VM and shard of each correct
   * result.
   */
  static Set<String> lookUpAll(Fleet<LeaseManager> fleet) {
    Set<String> correct = new HashSet<>();
    for (VmId vm : fleet.vms()) {
      for (int number = 0; number < Shard.COUNT; number++) {
        Shard shard = new Shard(number);
        boolean isCorrect =
            fleet
                .stateMachine(vm)
                .ownerOf(shard)
                .filter(owner -> fleet.vms().contains(owner))
                .filter(owner -> fleet.stateMachine(owner).isOwner(shard))
                .isPresent();
        if (isCorrect) {
          correct.add(vm + "/" + number);
        }
      }
    }
    return correct;
  }

  static long countOwned(Fleet<LeaseManager> fleet) {
    return fleet.vms().stream().mapToLong(vm -> fleet.stateMachine(vm).owned().size()).sum();
  }
}
