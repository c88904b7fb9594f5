package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.net.VmClock;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Plays a script of owners, one at a time for each resource, in place of the majority lease.
 *
 * <p>Not safe for use by several threads.
 */
public final class ScriptedOwners {
  private static final long LEASE_MILLIS = 3_000;
  private static final long RENEWAL_MILLIS = 1_000;

  private final ManualTimerService time;
  private final Map<String, List<Hold>> holds = new HashMap<>();
  private long hintLagMillis;

  /** Creates an empty script. */
  public ScriptedOwners(ManualTimerService time) {
    this.time = time;
  }

  /** Sets how late the other VMs hear of a new owner. */
  public void hintLag(long millis) {
    this.hintLagMillis = millis;
  }

  /** Lets a VM own the resource from one base time to another; holds must not overlap. */
  public void hold(String resource, VmId vm, long fromMillis, long toMillis) {
    List<Hold> all = holds.computeIfAbsent(resource, key -> new ArrayList<>());
    if (!all.isEmpty() && all.getLast().toMillis > fromMillis) {
      throw new IllegalArgumentException("holds overlap: " + resource);
    }
    all.add(new Hold(vm, fromMillis, toMillis));
  }

  /** Returns the view of one run of a VM's process, which has lost what an earlier run held. */
  public OwnerView view(VmId vm, VmClock clock) {
    long startMillis = time.nowMillis();
    return new OwnerView() {
      @Override
      public Optional<VmId> ownerOf(String resource) {
        return last(resource, time.nowMillis() - hintLagMillis).map(Hold::vm);
      }

      @Override
      public Optional<Ownership> ownership(String resource) {
        return last(resource, time.nowMillis())
            .filter(hold -> hold.vm.equals(vm) && hold.fromMillis >= startMillis)
            .map(hold -> local(hold, clock));
      }
    };
  }

  private Ownership local(Hold hold, VmClock clock) {
    long renewed = time.nowMillis() / RENEWAL_MILLIS * RENEWAL_MILLIS;
    long until = Math.min(hold.toMillis, Math.max(hold.fromMillis, renewed) + LEASE_MILLIS);
    return new Ownership(clock.localAt(hold.fromMillis) + 1, clock.localAt(until));
  }

  private Optional<Hold> last(String resource, long atMillis) {
    return holds.getOrDefault(resource, List.of()).reversed().stream()
        .filter(hold -> hold.fromMillis <= atMillis)
        .findFirst();
  }

  private record Hold(VmId vm, long fromMillis, long toMillis) {}
}
