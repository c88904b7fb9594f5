package org.ragworttide.bench.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.ragworttide.bench.coordination.TrialSize;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.FleetConstants;
import org.ragworttide.coordination.FleetPolicy;
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
import org.ragworttide.coordination.versions.PropagationFleet;
import org.ragworttide.coordination.versions.VersionHost;

/**
 * Simulated fleet of complete coordinators in one thread; it meters their messages and distributes
 * configuration versions to them.
 *
 * <p>Invariant: the same seed and calls give the same run. Not safe for use by several threads.
 */
final class SimulatedFleet implements Fleet.Factory<Coordinator> {
  /** Time that a key stays claimed, and during which a new fleet grants no claims. */
  static final int CLAIM_RETENTION_MILLIS = 30_000;

  private static final int DOCUMENT_BYTES = 300_000;
  private static final int VMS_PER_REPLACEMENT = 8;
  private static final int DOCUMENT_PREFIX_BYTES = 64;
  private static final int MIN_BURST = 5;

  final Fleet<Coordinator> fleet;
  final List<VmId> vms;
  private final FleetConstants constants;
  private final FleetPolicy policy;
  private final FleetMeter meter;
  private final List<Host> hosts = new ArrayList<>();
  private long platformVersion;
  private byte[] platformDocument = {};

  SimulatedFleet(long seed, TrialSize size, Engines engines, FleetMeter meter) {
    int replacements = Math.max(1, size.vms() / VMS_PER_REPLACEMENT);
    this.constants = new FleetConstants(size.vms() + replacements, CLAIM_RETENTION_MILLIS, 1.5);
    this.policy = new FleetPolicy(limits(size), engines.coldLimits(), engines.specs(), Map.of());
    this.meter = meter;
    this.fleet = new Fleet<>(seed, this);
    String[] names =
        IntStream.range(0, size.vms()).mapToObj(vm -> "vm-" + vm).toArray(String[]::new);
    fleet.publish(names);
    this.vms = fleet.vms();
  }

  /** Publishes the next version of the configuration to the coordinators that read the platform. */
  void publish() {
    platformVersion++;
    platformDocument = PropagationFleet.document(platformVersion, DOCUMENT_BYTES);
    for (Host host : hosts) {
      if (platformVersion == 1 || host.coordinator.versions().isReader()) {
        host.readPlatform();
      }
    }
  }

  /** Returns the number of VMs that have the newest configuration in force. */
  long upToDateVms() {
    return hosts.stream()
        .filter(host -> host.coordinator.versions().version() == platformVersion)
        .count();
  }

  @Override
  public Coordinator create(
      VmId vm, Incarnation incarnation, NodeTimers timers, Transport transport) {
    Transport metered =
        (to, message) -> {
          meter.record(vm, to, message);
          transport.send(to, message);
        };
    Host host = new Host();
    host.coordinator =
        new Coordinator(vm, incarnation, timers, metered, host, RouterSettings.DEFAULTS);
    host.coordinator.configure(constants);
    host.coordinator.apply(policy);
    hosts.add(host);
    return host.coordinator;
  }

  @Override
  public void adopt(Coordinator coordinator, VmList list) {
    coordinator.offer(list);
  }

  @Override
  public void deliver(Coordinator coordinator, VmId from, PeerMessage message) {
    coordinator.receive(from, message);
  }

  private static Map<OrganisationId, RateLimit> limits(TrialSize size) {
    Map<OrganisationId, RateLimit> limits = new LinkedHashMap<>();
    size.rates()
        .forEach((id, rate) -> limits.put(id, new RateLimit(rate, Math.max(MIN_BURST, 2 * rate))));
    return limits;
  }

  /** Validates documents by their first bytes and reads the published document. */
  private final class Host implements VersionHost {
    private Coordinator coordinator;

    @Override
    public boolean accepts(long version, byte[] document) {
      int length = Math.min(document.length, DOCUMENT_PREFIX_BYTES);
      return new String(document, 0, length, StandardCharsets.UTF_8)
          .startsWith("{\"version\":" + version + ",");
    }

    @Override
    public void putInForce(long version, byte[] document) {}

    @Override
    public void readPlatform() {
      if (platformVersion > 0) {
        coordinator.versionCommands().offer(platformVersion, platformDocument);
      }
    }
  }
}
