package org.ragworttide.coordination.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.membership.VmState;

/**
 * Selects the voters of each shard from the live VMs of one list, spread over availability zones.
 *
 * <p>Invariants: the same list gives the same groups on every daemon; a group contains one VM of
 * each availability zone before a second one of any zone. Groups are ordered, the preferred owner
 * first. Immutable, safe for use by any thread.
 */
public final class GroupSelection {
  private final VmList list;
  private final List<List<VmId>> groups;

  /** Selects the groups of all shards. */
  public GroupSelection(VmList list, GroupSize size) {
    this.list = list;
    List<Candidate> live =
        list.vms().stream().filter(vm -> vm.state() == VmState.LIVE).map(Candidate::new).toList();
    List<List<VmId>> chosen = new ArrayList<>(Shard.COUNT);
    for (int shard = 0; shard < Shard.COUNT; shard++) {
      chosen.add(choose(Rendezvous.hash("shard-" + shard), live, size.voters()));
    }
    this.groups = List.copyOf(chosen);
  }

  /** Returns the list from which the groups are selected. */
  public VmList list() {
    return list;
  }

  /** Returns the group of a shard, the preferred owner first. */
  public List<VmId> group(Shard shard) {
    return groups.get(shard.number());
  }

  private static List<VmId> choose(long shardHash, List<Candidate> live, int voters) {
    List<Candidate> ordered =
        live.stream()
            .map(vm -> new Weighted(vm, Rendezvous.weight(shardHash, vm.hash)))
            .sorted(Comparator.comparingLong(Weighted::weight).reversed())
            .map(Weighted::vm)
            .toList();
    return spread(ordered, voters);
  }

  /**
   * Selects the VM with the highest weight in each zone, then the second in each, until the group
   * is full.
   */
  private static List<VmId> spread(List<Candidate> ordered, int voters) {
    List<VmId> group = new ArrayList<>(voters);
    List<Candidate> rest = new ArrayList<>(ordered);
    while (group.size() < voters && !rest.isEmpty()) {
      Set<ZoneId> usedZones = new HashSet<>();
      List<Candidate> later = new ArrayList<>(rest.size());
      for (Candidate vm : rest) {
        if (group.size() < voters && usedZones.add(vm.zone)) {
          group.add(vm.id);
        } else {
          later.add(vm);
        }
      }
      rest = later;
    }
    return List.copyOf(group);
  }

  private record Weighted(Candidate vm, long weight) {}

  private record Candidate(VmId id, ZoneId zone, long hash) {
    private Candidate(VmEntry vm) {
      this(vm.id(), vm.zone(), Rendezvous.hash(vm.id().value()));
    }
  }
}
