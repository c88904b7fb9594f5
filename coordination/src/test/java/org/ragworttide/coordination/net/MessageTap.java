package org.ragworttide.coordination.net;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;

/** Sees every message that a fleet sends; called on the test's thread only. */
@FunctionalInterface
public interface MessageTap {

  /** Takes note of a message. */
  void sent(VmId from, VmId to, PeerMessage message);
}
