package org.ragworttide.coordination.quarantine;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.QuarantineMessage.RunAnswer;
import org.ragworttide.coordination.message.QuarantineMessage.RunReply;
import org.ragworttide.coordination.message.QuarantineMessage.RunRequest;

/**
 * Issuer of run permissions: permits one run at a time of each suspected request whose owner is
 * this VM.
 *
 * <p>Invariant: a run counts as in progress until its end is reported or {@link #MAX_RUN_MILLIS}
 * have passed. Not safe for use by several threads.
 */
final class RunOwner {
  static final int MAX_RUN_MILLIS = 60_000;
  static final int BUSY_RETRY_MILLIS = 2_000;
  private static final int MAX_RUNS = 4_096;

  private final DeathRecords records;
  private final Map<Fingerprint, Run> runs = new HashMap<>();

  RunOwner(DeathRecords records) {
    this.records = records;
  }

  RunReply decide(VmId from, RunRequest request, long nowMillis) {
    Fingerprint fingerprint = request.fingerprint();
    if (records.count(fingerprint, nowMillis) >= Quarantine.REFUSED_AFTER_DEATHS) {
      long remaining = records.remainingMillis(fingerprint, nowMillis);
      return new RunReply(request.requestId(), RunAnswer.REFUSED, (int) remaining);
    }
    runs.values().removeIf(run -> run.expiresAtMillis <= nowMillis);
    Run run = runs.get(fingerprint);
    if ((run != null && !run.matches(from, request.requestId())) || runs.size() >= MAX_RUNS) {
      return new RunReply(request.requestId(), RunAnswer.BUSY, BUSY_RETRY_MILLIS);
    }
    runs.put(fingerprint, new Run(from, request.requestId(), nowMillis + MAX_RUN_MILLIS));
    return new RunReply(request.requestId(), RunAnswer.PERMITTED, 0);
  }

  void endRun(VmId from, long requestId, Fingerprint fingerprint) {
    Run run = runs.get(fingerprint);
    if (run != null && run.matches(from, requestId)) {
      runs.remove(fingerprint);
    }
  }

  private record Run(VmId vm, long requestId, long expiresAtMillis) {
    private boolean matches(VmId other, long otherId) {
      return vm.equals(other) && requestId == otherId;
    }
  }
}
