package org.ragworttide.coordination.group;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.membership.VmState;
import org.testng.annotations.Test;

/** Tests the selection of groups. */
public class GroupSelectionTest {

  private static VmEntry vm(String id, String zone, VmState state) {
    return new VmEntry(new VmId(id), new ZoneId(zone), state, "127.0.0.1:1");
  }

  private static List<Shard> shards() {
    return IntStream.range(0, Shard.COUNT).mapToObj(Shard::new).toList();
  }

  @Test
  public void groupsSpreadOverAvailabilityZones() {
    List<VmEntry> vms = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      vms.add(vm("vm-" + i, "zone-" + i % 3, VmState.LIVE));
    }
    GroupSelection groups = new GroupSelection(new VmList(1, vms), GroupSize.FIVE);
    for (Shard shard : shards()) {
      List<VmId> group = groups.group(shard);
      assertEquals(group.size(), 5);
      for (int zone = 0; zone < 3; zone++) {
        int number = zone;
        long members =
            group.stream()
                .filter(id -> Integer.parseInt(id.value().substring(3)) % 3 == number)
                .count();
        assertTrue(members == 1 || members == 2, group.toString());
      }
    }
  }

  @Test
  public void leavingVmsAreNotSelected() {
    List<VmEntry> vms =
        List.of(
            vm("a", "z", VmState.LIVE), vm("b", "z", VmState.LEAVING), vm("c", "y", VmState.LIVE));
    GroupSelection groups = new GroupSelection(new VmList(1, vms), GroupSize.FIVE);
    assertEquals(groups.group(new Shard(3)).size(), 2);
    assertFalse(groups.group(new Shard(3)).contains(new VmId("b")));
  }

  @Test
  public void preferredOwnersAreSpreadOverTheVms() {
    List<VmEntry> vms = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      vms.add(vm("vm-" + i, "zone-" + i % 3, VmState.LIVE));
    }
    GroupSelection groups = new GroupSelection(new VmList(1, vms), GroupSize.FIVE);
    long owned =
        shards().stream()
            .filter(shard -> groups.group(shard).getFirst().equals(new VmId("vm-0")))
            .count();
    assertTrue(owned > 50 && owned < 125, "vm-0 is preferred for " + owned);
  }

  @Test(expectedExceptions = IllegalArgumentException.class)
  public void quorumsThatMayNotOverlapAreRejected() {
    new GroupSize(4, 2);
  }
}
