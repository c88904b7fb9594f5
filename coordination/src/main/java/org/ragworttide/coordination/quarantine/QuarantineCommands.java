package org.ragworttide.coordination.quarantine;

import java.util.Collection;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.QuarantineMessage;

/**
 * Commands on the records of requests that crash upstreams.
 *
 * <p>Called on the coordination thread only.
 */
public interface QuarantineCommands {

  /**
   * Decides whether a request may run, immediately if there is no record of it.
   *
   * @param fingerprint the request
   * @param decision receives one decision within a bounded time
   */
  void check(Fingerprint fingerprint, Consumer<QuarantineDecision> decision);

  /**
   * Records that an upstream died.
   *
   * @param upstream the upstream
   * @param upstreamRun identifies this run of the upstream; the same on all VMs
   * @param running the requests of this VM that were running on it
   */
  void recordDeath(UpstreamId upstream, String upstreamRun, Collection<Fingerprint> running);

  /** Records that a permitted run ended and its upstream is alive. */
  void recordRunEnd(Fingerprint fingerprint, long runId);

  /** Handles a message of a peer. */
  void receive(VmId from, QuarantineMessage message);
}
