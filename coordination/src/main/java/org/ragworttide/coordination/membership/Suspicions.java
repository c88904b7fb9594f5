package org.ragworttide.coordination.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.id.VmId;

/**
 * Collects signs that VMs are out of reach, seen here or told by peers.
 *
 * <p>Invariants: a VM that answers here is not suspected; what peers tell counts only from several
 * of them, and not for long. Not safe for use by several threads.
 */
final class Suspicions {
  private static final int FAILURES = 2;
  private static final int CONFIRMING_PEERS = 2;
  private static final long TOLD_MILLIS = 10_000;
  private static final long TRUST_AFTER_SUCCESS_MILLIS = 2_000;
  private static final int MAX_TOLD = 4;
  private static final int MAX_RECORDS = 2_048;

  private final Map<VmId, Signs> signs = new HashMap<>();

  void succeeded(VmId vm, long nowMillis) {
    Signs known = signs.get(vm);
    if (known != null) {
      known.failures = 0;
      known.told.clear();
      known.succeededMillis = nowMillis;
    }
  }

  void failed(VmId vm, long nowMillis) {
    if (signs.size() < MAX_RECORDS || signs.containsKey(vm)) {
      Signs known = signs.computeIfAbsent(vm, id -> new Signs());
      known.failures++;
      known.failedMillis = nowMillis;
    }
  }

  void told(VmId by, VmId vm, long nowMillis) {
    if (signs.size() < MAX_RECORDS || signs.containsKey(vm)) {
      signs.computeIfAbsent(vm, id -> new Signs()).told.put(by, nowMillis);
    }
  }

  boolean isSuspected(VmId vm, long nowMillis) {
    Signs known = signs.get(vm);
    if (known == null) {
      return false;
    }
    boolean told =
        known.confirmations(nowMillis) >= CONFIRMING_PEERS
            && nowMillis - known.succeededMillis > TRUST_AFTER_SUCCESS_MILLIS;
    return known.failures >= FAILURES || told;
  }

  /** Returns the VMs that this VM itself could not reach, the latest first. */
  List<VmId> unreachable() {
    return signs.entrySet().stream()
        .filter(entry -> entry.getValue().failures >= FAILURES)
        .sorted(
            Comparator.comparingLong(
                    (Map.Entry<VmId, Signs> entry) -> entry.getValue().failedMillis)
                .reversed()
                .thenComparing(Map.Entry::getKey))
        .limit(MAX_TOLD)
        .map(Map.Entry::getKey)
        .toList();
  }

  void forget(VmId vm) {
    signs.remove(vm);
  }

  /** Forgets VMs that are listed no more. */
  void retain(VmList list) {
    signs.keySet().removeIf(vm -> list.find(vm).isEmpty());
  }

  private static final class Signs {
    private final Map<VmId, Long> told = new HashMap<>(2);
    private int failures;
    private long failedMillis;
    private long succeededMillis = Long.MIN_VALUE / 2;

    private int confirmations(long nowMillis) {
      told.values().removeIf(at -> nowMillis - at > TOLD_MILLIS);
      return told.size();
    }
  }
}
