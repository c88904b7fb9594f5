package org.ragworttide.coordination.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.MembershipMessage.ListChange;

/**
 * Keeps the newest VM lists and computes the changes between them.
 *
 * <p>Invariant: kept lists have consecutive versions; a list that leaves a gap removes the earlier
 * ones. Not safe for use by several threads.
 */
final class ListHistory {
  static final int MAX_LISTS = 4;

  private final Deque<VmList> lists = new ArrayDeque<>();

  long version() {
    return lists.isEmpty() ? 0 : lists.getLast().version();
  }

  Optional<VmList> newest() {
    return Optional.ofNullable(lists.peekLast());
  }

  List<VmList> all() {
    return List.copyOf(lists);
  }

  /** Adds a list that is newer than all kept ones. */
  void add(VmList list) {
    if (list.version() <= version()) {
      throw new IllegalArgumentException(
          "the version must be greater than that of the newest list: " + list.version());
    }
    if (list.version() != version() + 1) {
      lists.clear();
    }
    lists.addLast(list);
    if (lists.size() > MAX_LISTS) {
      lists.removeFirst();
    }
  }

  /** Returns the changes since a version, or an empty list if that version is no longer kept. */
  List<ListChange> changesSince(long version) {
    if (lists.stream().noneMatch(list -> list.version() == version)) {
      return List.of();
    }
    List<ListChange> changes = new ArrayList<>();
    VmList before = null;
    for (VmList list : lists) {
      if (before != null && before.version() >= version) {
        changes.add(change(before, list));
      }
      before = list;
    }
    return changes;
  }

  /** Returns the newest list with the change applied, if the change leads to the next version. */
  Optional<VmList> apply(ListChange change) {
    if (lists.isEmpty() || change.version() != version() + 1) {
      return Optional.empty();
    }
    Map<VmId, VmEntry> entries = new HashMap<>();
    lists.getLast().vms().forEach(vm -> entries.put(vm.id(), vm));
    change.removed().forEach(entries::remove);
    change.entries().forEach(vm -> entries.put(vm.id(), vm));
    return Optional.of(new VmList(change.version(), List.copyOf(entries.values())));
  }

  private static ListChange change(VmList before, VmList after) {
    Map<VmId, VmEntry> old = new HashMap<>();
    before.vms().forEach(vm -> old.put(vm.id(), vm));
    List<VmEntry> changed =
        after.vms().stream().filter(vm -> !vm.equals(old.get(vm.id()))).toList();
    after.vms().forEach(vm -> old.remove(vm.id()));
    return new ListChange(after.version(), changed, old.keySet().stream().sorted().toList());
  }
}
