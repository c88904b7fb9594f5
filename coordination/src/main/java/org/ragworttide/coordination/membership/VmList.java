package org.ragworttide.coordination.membership;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.id.VmId;

/**
 * List of entry VMs that the platform publishes, at one version.
 *
 * <p>Invariants: the version increases by one with each change; a list contains a VM at most once;
 * entries are sorted by id. Immutable, safe for use by any thread.
 *
 * @param version the list's version, positive
 * @param vms the VMs, live and leaving
 */
public record VmList(long version, List<VmEntry> vms) {

  /** Sorts the entries and checks that each VM is listed once. */
  public VmList {
    if (version <= 0) {
      throw new IllegalArgumentException("version must be positive: " + version);
    }
    vms = vms.stream().sorted(Comparator.comparing(VmEntry::id)).toList();
    Set<VmId> seen = new HashSet<>();
    for (VmEntry vm : vms) {
      if (!seen.add(vm.id())) {
        throw new IllegalArgumentException("VM listed twice: " + vm.id());
      }
    }
  }

  /** Returns the entry of a VM, if the list contains it. */
  public Optional<VmEntry> find(VmId id) {
    return vms.stream().filter(vm -> vm.id().equals(id)).findFirst();
  }
}
