package org.ragworttide.gateway.feed;

import org.ragworttide.coordination.feed.ChangeBatch;

/** Outcome of one read of the store. Immutable, safe for use by any thread. */
public sealed interface ReadOutcome {

  /** All changes after the position, in the order of their revisions. */
  record Changes(ChangeBatch batch) implements ReadOutcome {}

  /** The store does not keep the changes after the position, or has begun another era. */
  record HistoryGone() implements ReadOutcome {}

  /** The store has not answered in time, or has refused to. */
  record Unanswered() implements ReadOutcome {}
}
