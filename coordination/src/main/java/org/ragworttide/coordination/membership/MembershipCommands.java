package org.ragworttide.coordination.membership;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.MembershipMessage;

/**
 * Commands that change this VM's view of the fleet.
 *
 * <p>Called on the coordination thread only.
 */
public interface MembershipCommands {

  /** Handles a list that the platform published. */
  void offer(VmList list);

  /** Handles a message of a peer. */
  void receive(VmId from, MembershipMessage message);

  /** Records that a peer answered in time. */
  void recordSuccess(VmId vm);

  /** Records that a peer did not answer in time. */
  void recordFailure(VmId vm);
}
