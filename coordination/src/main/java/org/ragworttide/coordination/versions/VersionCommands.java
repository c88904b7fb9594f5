package org.ragworttide.coordination.versions;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.VersionMessage;

/**
 * Changes which configuration version is in force.
 *
 * <p>Called on the coordination thread only.
 */
public interface VersionCommands {

  /** Begins to ask peers, once the VM list is known. */
  void start();

  /** Takes in what this VM has read from the platform; returns what became of it. */
  OfferOutcome offer(long version, byte[] document);

  /** Notes that the platform's service cannot be read. */
  void platformUnavailable();

  /** Takes in a message of a peer. */
  void receive(VmId from, VersionMessage message);
}
