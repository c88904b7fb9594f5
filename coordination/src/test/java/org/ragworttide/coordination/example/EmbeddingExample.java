package org.ragworttide.coordination.example;

import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.FleetConstants;
import org.ragworttide.coordination.FleetPolicy;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.limits.LimitDecision;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.coordination.versions.VersionHost;

/**
 * Example of a program that shares one rate with its peers; used on the coordination thread only.
 */
public final class EmbeddingExample {
  private static final OrganisationId CUSTOMER = new OrganisationId("customer");

  private final Coordinator coordinator;
  private int served;

  /**
   * Creates the program; the transport must deliver messages of peers to {@link #coordinator()}.
   */
  public EmbeddingExample(
      VmId self, Incarnation run, TimerService time, Transport transport, VersionHost host) {
    coordinator = new Coordinator(self, run, time, transport, host, RouterSettings.DEFAULTS);
    coordinator.configure(new FleetConstants(10, 60_000, 1.5));
    RateLimit limit = new RateLimit(20, 40);
    coordinator.apply(new FleetPolicy(Map.of(CUSTOMER, limit), Map.of(), List.of(), Map.of()));
  }

  /** Serves a request if the fleet-wide limit admits it. */
  public void serve(String requestId) {
    coordinator.limitCommands().acquire(CUSTOMER, requestId, this::decided);
  }

  /** Adopts a newer list of the fleet's VMs. */
  public void adopt(VmList list) {
    coordinator.offer(list);
  }

  /** Returns how many requests this program served. */
  public int served() {
    return served;
  }

  Coordinator coordinator() {
    return coordinator;
  }

  private void decided(LimitDecision decision) {
    served += decision instanceof LimitDecision.Admitted ? 1 : 0;
  }
}
