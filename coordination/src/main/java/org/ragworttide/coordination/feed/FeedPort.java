package org.ragworttide.coordination.feed;

/** What a VM does to obtain the changes of the store. Called on the thread of the controller. */
public interface FeedPort {

  /**
   * Connects to the VM, which then sends the changes after the known revision; ends the connection
   * to any other VM.
   */
  void follow(FeedMember parent);

  /** Ends the connection to the VM that is followed. */
  void unfollow();

  /** Starts or stops watching the store; a call that is waiting ends by itself. */
  void setWatching(boolean watching);

  /** Reads the changes after the known revision from the store once. */
  void catchUp();

  /** Sends the status to the VMs that follow this one, because it has changed. */
  void announceStatus();
}
