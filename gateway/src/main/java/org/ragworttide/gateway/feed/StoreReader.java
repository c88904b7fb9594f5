package org.ragworttide.gateway.feed;

import java.util.function.Consumer;
import org.ragworttide.coordination.feed.StorePosition;

/** Reads the store and passes its answers to the {@link ChangeFeed}. Called on the event loop. */
public interface StoreReader {

  /** Starts or stops watching the store; a call that is waiting ends by itself. */
  void setWatching(boolean watching);

  /** Reads the changes after the known revision once. */
  void catchUp();

  /**
   * Reads the changes after a position once, beside any other call, without passing them on.
   *
   * @param outcome receives the answer
   */
  void read(StorePosition after, Consumer<ReadOutcome> outcome);
}
