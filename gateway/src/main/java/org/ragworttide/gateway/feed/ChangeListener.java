package org.ragworttide.gateway.feed;

import java.util.List;
import org.ragworttide.coordination.feed.Change;

/** Receives the changes of the store, from the store or another VM. Called on the event loop. */
public interface ChangeListener {

  /** Applies a change that is newer than any applied change of its key. */
  void apply(Change change);

  /** Records changes of the past, in their order, which are not applied. */
  void recordPast(List<Change> changes);

  /** Records that changes may have been missed before those that follow. */
  void recordGap();

  /** Records that another VM, from which this one receives the changes, reads the store. */
  void recordStoreContact();
}
