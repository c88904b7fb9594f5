package org.ragworttide.coordination.quarantine;

import java.util.Set;

/**
 * An unanswered request whose upstream crashed.
 *
 * <p>Invariants: it has at least one suspect; the answer broke off after the request was sent.
 * Immutable, safe for use by any thread.
 *
 * @param suspects what the request contains that may have crashed the upstream
 * @param upstream identifies the run of the upstream that crashed
 * @param sentAtMillis when the request was sent, on the clock of the VM that keeps the report
 * @param brokenAtMillis when its answer broke off, on the same clock
 */
public record CrashReport(
    Set<Suspect> suspects, int upstream, long sentAtMillis, long brokenAtMillis) {

  /** Checks that there are suspects and that the times are in order. */
  public CrashReport {
    suspects = Set.copyOf(suspects);
    if (suspects.isEmpty()) {
      throw new IllegalArgumentException("a report needs a suspect");
    }
    if (brokenAtMillis < sentAtMillis) {
      throw new IllegalArgumentException("an answer cannot break off before its request is sent");
    }
  }

  @Override
  public String toString() {
    return "%s at %08x".formatted(Suspect.describe(suspects), upstream);
  }
}
