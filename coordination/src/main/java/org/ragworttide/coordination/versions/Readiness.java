package org.ragworttide.coordination.versions;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.id.VmId;

/**
 * Decides when a newly started VM may serve callers.
 *
 * <p>Invariant: a VM that is ready stays ready. Not safe for use by several threads.
 */
final class Readiness {
  static final int MAX_ANSWER_WAIT_MILLIS = 3_000;
  static final int NEWER_VERSION_WAIT_MILLIS = 30_000;

  private final Set<VmId> pendingPeers = new HashSet<>();
  private long startMillis = Long.MAX_VALUE;
  private long newerVersionSinceMillis = Long.MIN_VALUE;
  private long newerVersion;
  private boolean ready;

  void start(Set<VmId> queried, long nowMillis) {
    pendingPeers.addAll(queried);
    startMillis = nowMillis;
  }

  List<VmId> pendingPeers() {
    return pendingPeers.stream().sorted().toList();
  }

  /** Records the version that a peer reported. */
  void recordAnswer(VmId vm, long version, long inForce, long nowMillis) {
    pendingPeers.remove(vm);
    if (version > inForce && version != newerVersion) {
      newerVersion = version;
      newerVersionSinceMillis = nowMillis;
    }
  }

  boolean isReady(long inForce, long nowMillis) {
    if (!ready && inForce > 0 && startMillis <= nowMillis) {
      boolean queriesDone =
          pendingPeers.isEmpty() || nowMillis - startMillis >= MAX_ANSWER_WAIT_MILLIS;
      boolean isBehind =
          newerVersion > inForce && nowMillis - newerVersionSinceMillis < NEWER_VERSION_WAIT_MILLIS;
      ready = queriesDone && !isBehind;
    }
    return ready;
  }
}
