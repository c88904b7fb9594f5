package org.ragworttide.coordination.message;

import org.ragworttide.coordination.id.VmId;

/**
 * Sends messages to peers without any promise of delivery, order or uniqueness.
 *
 * <p>Invariant: sending never blocks and never fails; what cannot be sent is dropped and counted by
 * the implementation. Called on the coordination thread only.
 */
@FunctionalInterface
public interface Transport {

  /**
   * Sends the message once, if it can.
   *
   * @param to the receiving VM
   * @param message what to send
   */
  void send(VmId to, PeerMessage message);
}
