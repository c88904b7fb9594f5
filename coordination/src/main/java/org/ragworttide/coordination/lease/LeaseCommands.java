package org.ragworttide.coordination.lease;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.LeaseMessage;

/**
 * Changes the state of the leases.
 *
 * <p>Invariant: a command never blocks and never fails for what a peer sent. Used on the
 * coordination thread only.
 */
public interface LeaseCommands {

  /** Adopts a list if it is newer than the adopted one. */
  void adopt(VmList list);

  /** Takes a message on leases. */
  void onMessage(VmId from, LeaseMessage message);

  /** Takes a message of the groups of voters; those of other topics are left alone. */
  void onGroupMessage(VmId from, GroupMessage message);

  /** Gives back all leases and asks for no more; voting goes on. */
  void stop();
}
