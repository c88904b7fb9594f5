package org.ragworttide.coordination.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.id.VmId;

/**
 * Collects evidence that VMs are unreachable, observed by this VM or reported by peers.
 *
 * <p>Invariants: a VM that answers this VM is not suspected; reports of peers count only from
 * several peers, and only for a limited time. Not safe for use by several threads.
 */
final class Suspicions {
  private static final int SUSPECT_AFTER_FAILURES = 2;
  private static final int CONFIRMING_PEERS = 2;
  private static final long REPORT_VALID_MILLIS = 10_000;
  private static final long TRUST_AFTER_SUCCESS_MILLIS = 2_000;
  private static final int MAX_REPORTED_VMS = 4;
  private static final int MAX_TRACKED_VMS = 2_048;

  private final Map<VmId, Evidence> evidence = new HashMap<>();

  void recordSuccess(VmId vm, long nowMillis) {
    Evidence known = evidence.get(vm);
    if (known != null) {
      known.failures = 0;
      known.reports.clear();
      known.succeededMillis = nowMillis;
    }
  }

  void recordFailure(VmId vm, long nowMillis) {
    if (evidence.size() < MAX_TRACKED_VMS || evidence.containsKey(vm)) {
      Evidence known = evidence.computeIfAbsent(vm, id -> new Evidence());
      known.failures++;
      known.failedMillis = nowMillis;
    }
  }

  void recordReport(VmId reporter, VmId vm, long nowMillis) {
    if (evidence.size() < MAX_TRACKED_VMS || evidence.containsKey(vm)) {
      evidence.computeIfAbsent(vm, id -> new Evidence()).reports.put(reporter, nowMillis);
    }
  }

  boolean isSuspected(VmId vm, long nowMillis) {
    Evidence known = evidence.get(vm);
    if (known == null) {
      return false;
    }
    boolean confirmed =
        known.confirmations(nowMillis) >= CONFIRMING_PEERS
            && nowMillis - known.succeededMillis > TRUST_AFTER_SUCCESS_MILLIS;
    return known.failures >= SUSPECT_AFTER_FAILURES || confirmed;
  }

  /** Returns the VMs that this VM itself could not reach, the most recent failure first. */
  List<VmId> unreachable() {
    return evidence.entrySet().stream()
        .filter(entry -> entry.getValue().failures >= SUSPECT_AFTER_FAILURES)
        .sorted(
            Comparator.comparingLong(
                    (Map.Entry<VmId, Evidence> entry) -> entry.getValue().failedMillis)
                .reversed()
                .thenComparing(Map.Entry::getKey))
        .limit(MAX_REPORTED_VMS)
        .map(Map.Entry::getKey)
        .toList();
  }

  void forget(VmId vm) {
    evidence.remove(vm);
  }

  /** Removes VMs that are no longer listed. */
  void retain(VmList list) {
    evidence.keySet().removeIf(vm -> list.find(vm).isEmpty());
  }

  private static final class Evidence {
    private final Map<VmId, Long> reports = new HashMap<>(2);
    private int failures;
    private long failedMillis;
    private long succeededMillis = Long.MIN_VALUE / 2;

    private int confirmations(long nowMillis) {
      reports.values().removeIf(at -> nowMillis - at > REPORT_VALID_MILLIS);
      return reports.size();
    }
  }
}
