package org.ragworttide.coordination.net;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;

/** Observes every message that a fleet sends; called on the test's thread only. */
@FunctionalInterface
public interface MessageTap {

  /** Observes a message that is sent. */
  void sent(VmId from, VmId to, PeerMessage message);
}
