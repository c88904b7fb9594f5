package org.ragworttide.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;

/**
 * Tracks the runs of each VM's process by their incarnations.
 *
 * <p>Invariant: a run that was followed by another is never treated as the current one while it is
 * remembered. Not safe for use by several threads.
 */
final class PeerRuns {
  private static final int MAX_PAST_RUNS = 4;

  private final Map<VmId, Deque<Incarnation>> runs = new HashMap<>();

  /** Relation of a message's run to the known runs of its sender. */
  enum RunStatus {
    /** The run known before, or the first one. */
    CURRENT,
    /** A run that replaces the one known before. */
    RESTARTED,
    /** An earlier run, which has ended. */
    PAST
  }

  RunStatus observe(VmId vm, Incarnation incarnation) {
    Deque<Incarnation> known = runs.computeIfAbsent(vm, id -> new ArrayDeque<>(1));
    if (known.isEmpty() || known.getFirst().equals(incarnation)) {
      if (known.isEmpty()) {
        known.addFirst(incarnation);
      }
      return RunStatus.CURRENT;
    }
    if (known.contains(incarnation)) {
      return RunStatus.PAST;
    }
    known.addFirst(incarnation);
    if (known.size() > MAX_PAST_RUNS) {
      known.removeLast();
    }
    return RunStatus.RESTARTED;
  }

  Optional<Incarnation> current(VmId vm) {
    return Optional.ofNullable(runs.get(vm)).map(Deque::peekFirst);
  }

  void retain(VmList list) {
    runs.keySet().removeIf(vm -> list.find(vm).isEmpty());
  }
}
