package org.ragworttide.gateway.feed;

import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.feed.Change;

/** Receives the changes of the store, from the store or another VM. Called on the event loop. */
public interface ChangeListener {

  /** Applies a change that is newer than any applied change of its key. */
  void apply(Change change);

  /**
   * Records changes of the past, which are not applied.
   *
   * @param changes the changes, in their order
   * @param rewrittenKeys keys of items that existed before the first of them and were written again
   * @param beforeUnixMillis a Unix time in milliseconds before which all other changes were made
   */
  void recordPast(List<Change> changes, Set<String> rewrittenKeys, long beforeUnixMillis);

  /** Records that changes may have been missed before those that follow. */
  void recordGap();

  /** Records that another VM, from which this one receives the changes, reads the store. */
  void recordStoreContact();
}
