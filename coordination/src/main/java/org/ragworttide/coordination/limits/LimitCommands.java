package org.ragworttide.coordination.limits;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage;

/**
 * Changes the state of the fleet-wide limits.
 *
 * <p>Invariant: in any window of time, all VMs together admit and count at most burst plus rate
 * times window requests of an organisation. Called on the coordination thread only.
 */
public interface LimitCommands {

  /**
   * Decides whether a request may run, at once or after a bounded number of exchanges with owners
   * and peers.
   *
   * @param organisation the organisation whose limit counts
   * @param requestId identifies the request; its retries carry the same identifier
   * @param decision receives the decision once, within a bounded time
   */
  void acquire(OrganisationId organisation, String requestId, Consumer<LimitDecision> decision);

  /** Applies the limits of a configuration version, which replace all earlier ones. */
  void apply(Map<OrganisationId, RateLimit> limits);

  /** Sets the entry VMs from whose reserves this VM may borrow; they replace all earlier ones. */
  void replacePeers(List<VmId> vms);

  /** Handles a message of a peer. */
  void receive(VmId from, LimitMessage message);

  /** Returns all unused tokens to their owners; called before the process stops. */
  void returnTokens();
}
