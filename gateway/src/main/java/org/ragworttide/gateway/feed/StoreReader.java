package org.ragworttide.gateway.feed;

/** Reads the store and passes its answers to the {@link ChangeFeed}. Called on the event loop. */
public interface StoreReader {

  /** Starts or stops watching the store; a call that is waiting ends by itself. */
  void setWatching(boolean watching);

  /** Reads the changes after the known revision once. */
  void catchUp();
}
