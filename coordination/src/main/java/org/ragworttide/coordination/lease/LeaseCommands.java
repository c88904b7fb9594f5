package org.ragworttide.coordination.lease;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.LeaseMessage;

/**
 * Changes the state of the leases.
 *
 * <p>Invariant: a command never blocks, and never fails because of a peer's message. Used on the
 * coordination thread only.
 */
public interface LeaseCommands {

  /** Adopts a VM list if it is newer than the adopted one. */
  void adopt(VmList list);

  /** Handles a lease message of a peer. */
  void onMessage(VmId from, LeaseMessage message);

  /** Handles a message of the voter groups; ignores messages of other topics. */
  void onGroupMessage(VmId from, GroupMessage message);

  /** Releases all leases and requests no more; this VM continues to vote. */
  void stop();
}
