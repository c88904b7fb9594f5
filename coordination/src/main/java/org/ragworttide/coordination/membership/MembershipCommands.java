package org.ragworttide.coordination.membership;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.MembershipMessage;

/**
 * Changes this VM's view of the fleet.
 *
 * <p>Called on the coordination thread only.
 */
public interface MembershipCommands {

  /** Takes in a list that the platform published. */
  void offer(VmList list);

  /** Takes in a message of a peer. */
  void receive(VmId from, MembershipMessage message);

  /** Notes that a peer answered in time. */
  void succeeded(VmId vm);

  /** Notes that a peer did not answer in time. */
  void failed(VmId vm);
}
