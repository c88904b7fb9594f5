package org.ragworttide.coordination.admission;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.id.VmId;

/**
 * Which daemons have still to tell the owner that none of their requests run at an upstream but
 * those that it knows of.
 *
 * <p>Invariant: a daemon that is listed while the census is open counts until it has answered.
 * Confined to the coordination thread.
 */
final class Census {
  private static final int MAX_ASKED_AT_ONCE = 32;

  private final Set<VmId> listed = new LinkedHashSet<>();
  private final Set<VmId> awaited = new LinkedHashSet<>();

  /** Begins again: every listed daemon has to answer. */
  void begin() {
    awaited.addAll(listed);
  }

  /** Replaces the listed daemons; one that is listed no more has been stopped. */
  void listed(Collection<VmId> vms) {
    vms.stream().filter(vm -> !listed.contains(vm)).forEach(awaited::add);
    listed.clear();
    listed.addAll(vms);
    awaited.retainAll(listed);
  }

  void answered(VmId vm) {
    awaited.remove(vm);
  }

  /** Tells whether every listed daemon has answered; without a list none has. */
  boolean isComplete() {
    return !listed.isEmpty() && awaited.isEmpty();
  }

  /** Returns whom to ask next, each in turn and few at once, to keep within the byte budget. */
  List<VmId> next() {
    List<VmId> next = awaited.stream().limit(MAX_ASKED_AT_ONCE).toList();
    next.forEach(awaited::remove);
    awaited.addAll(next);
    return next;
  }
}
