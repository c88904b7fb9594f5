package org.ragworttide.daemon.peer;

import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;

/**
 * Receives what peers send.
 *
 * <p>Called on network threads; implementations hand over to the coordination thread.
 */
public interface PeerInbox {

  /** Takes a message of a peer that has introduced itself. */
  void receive(VmId from, Incarnation incarnation, PeerMessage message);
}
