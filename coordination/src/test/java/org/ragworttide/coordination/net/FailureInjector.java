package org.ragworttide.coordination.net;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.VmId;

/**
 * Injects random failures into a fleet: cuts, pauses, restarts and changes of the list.
 *
 * <p>Invariant: a restarted process may read an older list that contains its VM. Not safe for use
 * by several threads.
 */
public final class FailureInjector {
  private static final int ACTION_CASES = 16;

  private final Fleet<?> fleet;
  private final SplittableRandom random;
  private int nextVm = 100;

  /** Creates a source of failures for the fleet. */
  public FailureInjector(Fleet<?> fleet) {
    this.fleet = fleet;
    this.random = fleet.random();
  }

  /** Injects one random failure, ends earlier ones or advances the lists that VMs have adopted. */
  public void injectFailure() {
    VmId vm = randomVm();
    switch (random.nextInt(ACTION_CASES)) {
      case 0, 1 -> fleet.network().cut(vm, randomVm(), true);
      case 2 -> fleet.network().heal();
      case 3, 4 -> fleet.timers(vm).pause();
      case 5, 6, 7 -> fleet.timers(vm).resume();
      case 8, 9 -> restart(vm);
      case 10 -> publish(1);
      case 11 -> publish(1 + random.nextInt(3));
      case 12, 13, 14 -> adoptNext(vm);
      default -> fleet.adoptAll();
    }
  }

  /** Ends all cuts and pauses and makes every VM adopt the newest list. */
  public void endFailures() {
    fleet.network().heal();
    fleet.network().faults(0, 0, 3);
    fleet.vms().forEach(vm -> fleet.timers(vm).resume());
    fleet.adoptAll();
  }

  private void restart(VmId vm) {
    List<Long> versions = new ArrayList<>();
    long newest = fleet.published().size();
    for (long version = Math.max(1, newest - 2); version <= newest; version++) {
      if (fleet.published().get((int) version - 1).find(vm).isPresent()) {
        versions.add(version);
      }
    }
    fleet.restart(vm, versions.get(random.nextInt(versions.size())));
  }

  private void publish(int changes) {
    List<String> vms = new ArrayList<>();
    fleet.published().getLast().vms().forEach(vm -> vms.add(vm.id().value()));
    for (int i = 0; i < changes; i++) {
      if (vms.size() > 5 && random.nextBoolean()) {
        vms.remove(random.nextInt(vms.size()));
      }
      if (vms.size() < 8) {
        vms.add("vm-" + nextVm++);
      }
    }
    fleet.publish(vms.toArray(String[]::new));
  }

  private void adoptNext(VmId vm) {
    long next = fleet.version(vm) + 1;
    if (next <= fleet.published().size()) {
      fleet.adopt(vm, next);
    }
  }

  private VmId randomVm() {
    List<VmId> vms = fleet.vms();
    return vms.get(random.nextInt(vms.size()));
  }
}
