package org.ragworttide.coordination.quarantine;

import java.util.Collection;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.QuarantineMessage;

/**
 * Changes what is known about requests that crash upstreams.
 *
 * <p>Called on the coordination thread only.
 */
public interface QuarantineCommands {

  /**
   * Decides whether a request may run, at once if nothing is known against it.
   *
   * @param fingerprint the request
   * @param decision told once, within a bounded time
   */
  void check(Fingerprint fingerprint, Consumer<QuarantineDecision> decision);

  /**
   * Notes that an upstream died.
   *
   * @param upstream the upstream
   * @param upstreamRun tells this run of the upstream from others, the same on all VMs
   * @param running requests of this VM that ran on it
   */
  void died(UpstreamId upstream, String upstreamRun, Collection<Fingerprint> running);

  /** Notes that a permitted run ended and its upstream lives. */
  void finished(Fingerprint fingerprint, long runId);

  /** Takes in a message of a peer. */
  void receive(VmId from, QuarantineMessage message);
}
