package org.ragworttide.coordination.admission;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.id.VmId;

/**
 * Poll of the listed daemons for requests that run at an upstream without the owner's knowledge.
 * Tracks the daemons that have not yet answered that they have none.
 *
 * <p>Invariant: a daemon that is listed while the poll is open is awaited until it has answered.
 * Confined to the coordination thread.
 */
final class InFlightPoll {
  private static final int MAX_POLLED_AT_ONCE = 32;

  private final Set<VmId> listed = new LinkedHashSet<>();
  private final Set<VmId> awaited = new LinkedHashSet<>();

  /** Restarts the poll: every listed daemon has to answer again. */
  void restart() {
    awaited.addAll(listed);
  }

  /** Sets the listed daemons; a daemon that is no longer listed has been stopped. */
  void setListedVms(Collection<VmId> vms) {
    vms.stream().filter(vm -> !listed.contains(vm)).forEach(awaited::add);
    listed.clear();
    listed.addAll(vms);
    awaited.retainAll(listed);
  }

  void recordAnswer(VmId vm) {
    awaited.remove(vm);
  }

  /** Returns whether every listed daemon has answered; false if no daemon is listed. */
  boolean isComplete() {
    return !listed.isEmpty() && awaited.isEmpty();
  }

  /** Returns the next daemons to poll, round-robin and few at once to keep to the byte budget. */
  List<VmId> nextToPoll() {
    List<VmId> next = awaited.stream().limit(MAX_POLLED_AT_ONCE).toList();
    next.forEach(awaited::remove);
    awaited.addAll(next);
    return next;
  }
}
