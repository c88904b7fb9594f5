package org.ragworttide.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;

/**
 * Tells runs of each VM's process apart.
 *
 * <p>Invariant: a run that was followed by another is never taken for the current one while it is
 * remembered. Not safe for use by several threads.
 */
final class PeerRuns {
  private static final int MAX_PAST_RUNS = 4;

  private final Map<VmId, Deque<Incarnation>> runs = new HashMap<>();

  /** What a message says about the sender's run. */
  enum Sighting {
    /** The run known before, or the first one. */
    CURRENT,
    /** A run that replaces the one known before. */
    RESTARTED,
    /** A run that is over. */
    PAST
  }

  Sighting seen(VmId vm, Incarnation incarnation) {
    Deque<Incarnation> known = runs.computeIfAbsent(vm, id -> new ArrayDeque<>(1));
    if (known.isEmpty() || known.getFirst().equals(incarnation)) {
      if (known.isEmpty()) {
        known.addFirst(incarnation);
      }
      return Sighting.CURRENT;
    }
    if (known.contains(incarnation)) {
      return Sighting.PAST;
    }
    known.addFirst(incarnation);
    if (known.size() > MAX_PAST_RUNS) {
      known.removeLast();
    }
    return Sighting.RESTARTED;
  }

  Optional<Incarnation> current(VmId vm) {
    return Optional.ofNullable(runs.get(vm)).map(Deque::peekFirst);
  }

  void retain(VmList list) {
    runs.keySet().removeIf(vm -> list.find(vm).isEmpty());
  }
}
