package org.ragworttide.gateway.feed;

import java.util.Set;
import org.ragworttide.coordination.feed.ChangeBatch;

/** Outcome of one read of the store. Immutable, safe for use by any thread. */
public sealed interface ReadOutcome {

  /**
   * All changes after the position, in the order of their revisions.
   *
   * @param rewrittenKeys keys of items that were written after the position, and before as well
   */
  record Changes(ChangeBatch batch, Set<String> rewrittenKeys) implements ReadOutcome {
    /** Copies the keys. */
    public Changes {
      rewrittenKeys = Set.copyOf(rewrittenKeys);
    }
  }

  /** The store does not keep the changes after the position, or has begun another era. */
  record HistoryGone() implements ReadOutcome {}

  /** The store has not answered in time, or has refused to. */
  record Unanswered() implements ReadOutcome {}
}
