package org.ragworttide.coordination.feed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the VM from which a VM receives the changes of the store.
 *
 * <p>Answers this load: calls to the store that grow with the number of VMs times the number of
 * changes. The VM of the lowest rank in each availability zone heads the zone; the first {@link
 * #READERS} heads read the store, the other heads receive the changes from them, and the VMs of a
 * zone form a tree below their head, so that no VM sends a change to more than {@link #FAN_OUT} VMs
 * of its zone.
 *
 * <p>Invariant: a VM's parent has a lower rank, so VMs that agree on the ranks but not on the
 * members never form a cycle. Confined to one thread.
 */
final class FeedTree {
  /** VMs that read the store: with two, one can be lost or cut off without a gap. */
  static final int READERS = 2;

  /**
   * VMs of the same zone that receive changes from one VM: few enough for a VM with a narrow link,
   * enough for two levels below the head in a zone of forty VMs.
   */
  static final int FAN_OUT = 6;

  private static final Comparator<FeedMember> BY_RANK =
      Comparator.comparingLong(FeedMember::rank).thenComparingLong(FeedMember::address);

  private final FeedMember self;
  private List<FeedMember> byRank;
  private Optional<FeedMember> parent = Optional.empty();
  private Set<Long> parentExcludes;

  FeedTree(FeedMember self) {
    this.self = self;
    this.byRank = List.of(self);
  }

  /** Sets the known VMs; this VM is added if it is missing. */
  void setMembers(Collection<FeedMember> members) {
    Map<Long, FeedMember> all = new HashMap<>();
    members.forEach(member -> all.put(member.address(), member));
    all.put(self.address(), self);
    byRank = all.values().stream().sorted(BY_RANK).toList();
    parentExcludes = null;
  }

  /** Returns the VM to receive changes from, or empty if this VM is to read the store. */
  Optional<FeedMember> parent(Set<Long> excluded) {
    if (!excluded.equals(parentExcludes)) {
      parent = findParent(excluded);
      parentExcludes = Set.copyOf(excluded);
    }
    return parent;
  }

  private Optional<FeedMember> findParent(Set<Long> excluded) {
    List<FeedMember> zone = new ArrayList<>();
    for (FeedMember member : byRank) {
      if (member.address() == self.address()) {
        return zone.isEmpty()
            ? parentOfHead(excluded)
            : Optional.of(zone.get((zone.size() - 1) / FAN_OUT));
      }
      if (member.zoneKey() == self.zoneKey() && !excluded.contains(member.address())) {
        zone.add(member);
      }
    }
    throw new IllegalStateException("this VM is not among the members");
  }

  /** Returns other VMs that may pass changes on, the likeliest readers first. */
  List<FeedMember> alternatives(Set<Long> excluded) {
    List<FeedMember> heads = new ArrayList<>();
    List<FeedMember> others = new ArrayList<>();
    Set<Integer> zones = new HashSet<>();
    for (FeedMember member : byRank) {
      if (!member.equals(self) && !excluded.contains(member.address())) {
        (zones.add(member.zoneKey()) ? heads : others).add(member);
      }
    }
    heads.addAll(others);
    return heads;
  }

  private Optional<FeedMember> parentOfHead(Set<Long> excluded) {
    List<FeedMember> lowerHeads = new ArrayList<>();
    Set<Integer> zones = new HashSet<>();
    for (FeedMember member : byRank) {
      if (member.address() == self.address()) {
        break;
      }
      if (!excluded.contains(member.address()) && zones.add(member.zoneKey())) {
        lowerHeads.add(member);
      }
    }
    return lowerHeads.size() < READERS
        ? Optional.empty()
        : Optional.of(lowerHeads.get(lowerHeads.size() % READERS));
  }
}
