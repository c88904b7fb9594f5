package org.ragworttide.coordination.quarantine;

import java.util.Set;

/**
 * What requests have in common whose upstreams crashed one after the other.
 *
 * <p>Invariant: it has at least one suspect. Immutable, safe for use by any thread.
 *
 * @param common the suspects that all these requests contain
 * @param crashes the number of upstreams that crashed one after the other
 * @param lastCrashMillis when the last of them crashed
 */
public record CrashCause(Set<Suspect> common, int crashes, long lastCrashMillis) {

  /** Copies the suspects. */
  public CrashCause {
    common = Set.copyOf(common);
    if (common.isEmpty()) {
      throw new IllegalArgumentException("a cause needs a suspect");
    }
  }

  /** Returns the common suspects as text. */
  public String description() {
    return Suspect.describe(common);
  }
}
