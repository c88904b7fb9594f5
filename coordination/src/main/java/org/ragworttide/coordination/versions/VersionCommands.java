package org.ragworttide.coordination.versions;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.VersionMessage;

/**
 * Commands that change which configuration version is in force.
 *
 * <p>Called on the coordination thread only.
 */
public interface VersionCommands {

  /** Starts to query peers; to be called once the VM list is known. */
  void start();

  /** Handles a document that this VM read from the platform and returns the outcome. */
  OfferOutcome offer(long version, byte[] document);

  /** Records that the platform's service cannot be read. */
  void platformUnavailable();

  /** Handles a message of a peer. */
  void receive(VmId from, VersionMessage message);
}
