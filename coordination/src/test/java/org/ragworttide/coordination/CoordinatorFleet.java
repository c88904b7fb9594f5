package org.ragworttide.coordination;

import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.net.NodeTimers;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.versions.VersionHost;

/** Creates fleets of complete coordinators for tests; stateless. */
final class CoordinatorFleet implements Fleet.Factory<Coordinator> {
  static final OrganisationId ORGANISATION = new OrganisationId("hotel");
  static final RateLimit LIMIT = new RateLimit(50, 20);
  static final FleetConstants CONSTANTS = new FleetConstants(10, 20_000, 1.5);

  static Fleet<Coordinator> create(long seed, String... vms) {
    Fleet<Coordinator> fleet = new Fleet<>(seed, new CoordinatorFleet());
    fleet.publish(vms);
    return fleet;
  }

  @Override
  public Coordinator create(
      VmId vm, Incarnation incarnation, NodeTimers timers, Transport transport) {
    Coordinator coordinator = createWithoutPolicy(vm, incarnation, timers, transport);
    coordinator.apply(new FleetPolicy(Map.of(ORGANISATION, LIMIT), Map.of(), List.of(), Map.of()));
    return coordinator;
  }

  /** Creates a coordinator with the constants set and without a policy. */
  static Coordinator createWithoutPolicy(
      VmId vm, Incarnation incarnation, NodeTimers timers, Transport transport) {
    Coordinator coordinator =
        new Coordinator(
            vm, incarnation, timers, transport, new NoDocuments(), RouterSettings.DEFAULTS);
    coordinator.configure(CONSTANTS);
    return coordinator;
  }

  @Override
  public void adopt(Coordinator coordinator, VmList list) {
    coordinator.offer(list);
  }

  @Override
  public void deliver(Coordinator coordinator, VmId from, PeerMessage message) {
    coordinator.receive(from, message);
  }

  /** Accepts no configuration: the tests apply policies themselves. */
  private static final class NoDocuments implements VersionHost {

    @Override
    public boolean accepts(long version, byte[] document) {
      return false;
    }

    @Override
    public void putInForce(long version, byte[] document) {}

    @Override
    public void readPlatform() {}
  }
}
