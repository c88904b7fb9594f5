package org.ragworttide.coordination.versions;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.id.VmId;

/**
 * Decides when a VM that has just started may serve callers.
 *
 * <p>Invariant: once ready, always ready. Not safe for use by several threads.
 */
final class Readiness {
  static final int MAX_WAIT_MILLIS = 3_000;
  static final int CONTRADICTION_MILLIS = 30_000;

  private final Set<VmId> unanswered = new HashSet<>();
  private long startMillis = Long.MAX_VALUE;
  private long contradictedMillis = Long.MIN_VALUE;
  private long contradictingVersion;
  private boolean ready;

  void start(Set<VmId> asked, long nowMillis) {
    unanswered.addAll(asked);
    startMillis = nowMillis;
  }

  List<VmId> unanswered() {
    return unanswered.stream().sorted().toList();
  }

  /** Notes that a peer has told its version. */
  void answered(VmId vm, long version, long inForce, long nowMillis) {
    unanswered.remove(vm);
    if (version > inForce && version != contradictingVersion) {
      contradictingVersion = version;
      contradictedMillis = nowMillis;
    }
  }

  boolean isReady(long inForce, long nowMillis) {
    if (!ready && inForce > 0 && startMillis <= nowMillis) {
      boolean asked = unanswered.isEmpty() || nowMillis - startMillis >= MAX_WAIT_MILLIS;
      boolean contradicted =
          contradictingVersion > inForce && nowMillis - contradictedMillis < CONTRADICTION_MILLIS;
      ready = asked && !contradicted;
    }
    return ready;
  }
}
