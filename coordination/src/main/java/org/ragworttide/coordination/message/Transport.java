package org.ragworttide.coordination.message;

import org.ragworttide.coordination.id.VmId;

/**
 * Sends messages to peers without guarantees of delivery, order or uniqueness.
 *
 * <p>Invariant: sending never blocks and never fails; the implementation drops and counts messages
 * that cannot be sent. Called on the coordination thread only.
 */
@FunctionalInterface
public interface Transport {

  /**
   * Sends the message once, if possible.
   *
   * @param to the receiving VM
   * @param message the message to send
   */
  void send(VmId to, PeerMessage message);
}
