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
 * Owners that follow a script, one at a time for each resource, in place of the leases.
 *
 * <p>Not safe for use by several threads.
 */
public final class ScriptedOwners {
  private static final long LEASE_MILLIS = 3_000;
  private static final long RENEWAL_PERIOD_MILLIS = 1_000;

  private final ManualTimerService time;
  private final Map<String, List<Interval>> intervals = new HashMap<>();
  private long hintLagMillis;

  /** Creates an empty script. */
  public ScriptedOwners(ManualTimerService time) {
    this.time = time;
  }

  /** Sets the delay after which {@link OwnerView#ownerOf} returns a new owner. */
  public void setHintLag(long millis) {
    this.hintLagMillis = millis;
  }

  /**
   * Makes a VM the owner of the resource from one base time to another; the intervals must not
   * overlap.
   */
  public void addOwnership(String resource, VmId vm, long fromMillis, long toMillis) {
    List<Interval> all = intervals.computeIfAbsent(resource, key -> new ArrayList<>());
    if (!all.isEmpty() && all.getLast().toMillis > fromMillis) {
      throw new IllegalArgumentException("ownership intervals overlap: " + resource);
    }
    all.add(new Interval(vm, fromMillis, toMillis));
  }

  /**
   * Returns the view of one incarnation of a VM's process, which does not own what an earlier
   * incarnation owned.
   */
  public OwnerView view(VmId vm, VmClock clock) {
    long startMillis = time.nowMillis();
    return new OwnerView() {
      @Override
      public Optional<VmId> ownerOf(String resource) {
        return latest(resource, time.nowMillis() - hintLagMillis).map(Interval::vm);
      }

      @Override
      public Optional<Ownership> ownership(String resource) {
        return latest(resource, time.nowMillis())
            .filter(interval -> interval.vm.equals(vm) && interval.fromMillis >= startMillis)
            .map(interval -> local(interval, clock));
      }
    };
  }

  private Ownership local(Interval interval, VmClock clock) {
    long renewed = time.nowMillis() / RENEWAL_PERIOD_MILLIS * RENEWAL_PERIOD_MILLIS;
    long until = Math.min(interval.toMillis, Math.max(interval.fromMillis, renewed) + LEASE_MILLIS);
    return new Ownership(clock.localAt(interval.fromMillis) + 1, clock.localAt(until));
  }

  private Optional<Interval> latest(String resource, long atMillis) {
    return intervals.getOrDefault(resource, List.of()).reversed().stream()
        .filter(interval -> interval.fromMillis <= atMillis)
        .findFirst();
  }

  private record Interval(VmId vm, long fromMillis, long toMillis) {}
}
