package org.ragworttide.daemon.peer;

import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;

/**
 * Receiver of the messages that peers send.
 *
 * <p>Called on network threads; implementations pass the message to the coordination thread.
 */
public interface PeerInbox {

  /** Handles a message of a peer that has sent its {@code Hello}. */
  void receive(VmId from, Incarnation incarnation, PeerMessage message);
}
