package org.ragworttide.coordination.group;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts messages that were ignored, by reason.
 *
 * <p>Invariant: an ignored message changes no other state. Used on the coordination thread only.
 */
public final class IgnoredMessages {
  private final Map<Reason, Long> counts = new EnumMap<>(Reason.class);

  /** Why a message is ignored. */
  public enum Reason {
    /** The sender is not in the adopted list, or not in the group. */
    UNKNOWN_SENDER,
    /** The message belongs to another list version. */
    OTHER_VERSION,
    /** No request with this number is open. */
    STALE_ATTEMPT,
    /** The message is for another run of this process. */
    OTHER_INCARNATION,
    /** A field is out of range. */
    MALFORMED
  }

  /** Counts one message. */
  public void count(Reason reason) {
    counts.merge(reason, 1L, Long::sum);
  }

  /** Returns how many messages were ignored for the reason. */
  public long countOf(Reason reason) {
    return counts.getOrDefault(reason, 0L);
  }

  /** Returns how many messages were ignored for any reason. */
  public long total() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }
}
