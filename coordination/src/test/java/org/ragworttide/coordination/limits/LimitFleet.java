package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.net.FakeNetwork;
import org.ragworttide.coordination.net.MessageTap;
import org.ragworttide.coordination.net.VmClock;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Runs the limits of many VMs in one thread and checks every admission against the limits.
 *
 * <p>Invariant: the same seed and calls give the same run. Not safe for use by several threads.
 */
public final class LimitFleet {
  private static final int MAX_CLOCK_ERROR_PARTS_PER_MILLION = 1_000;

  /** The base time of the run. */
  public final ManualTimerService time = new ManualTimerService();

  /** The network between the VMs. */
  public final FakeNetwork network;

  /** The scripted owners. */
  public final ScriptedOwners owners = new ScriptedOwners(time);

  /** The checker of all admissions. */
  public final RateChecker checker = new RateChecker();

  /** The VMs in order. */
  public final List<VmId> vms = new ArrayList<>();

  private final Map<VmId, Limits> limits = new HashMap<>();
  private final Map<VmId, VmClock> clocks = new HashMap<>();
  private final LimitSettings settings;
  private final SplittableRandom random;
  private final MessageTap tap;
  private Map<OrganisationId, RateLimit> table = Map.of();

  /** Creates a fleet of the given number of VMs. */
  public LimitFleet(long seed, int size, LimitSettings settings) {
    this(seed, size, settings, (from, to, message) -> {});
  }

  /** Creates a fleet that reports every sent message to a tap. */
  public LimitFleet(long seed, int size, LimitSettings settings, MessageTap tap) {
    this.random = new SplittableRandom(seed);
    this.network = new FakeNetwork(time, random.nextLong());
    this.settings = settings;
    this.tap = tap;
    for (int i = 0; i < size; i++) {
      vms.add(new VmId("vm-" + i));
      start(vms.getLast());
    }
    limits.values().forEach(each -> each.replacePeers(vms));
  }

  /** Starts or restarts a VM's process with an empty state. */
  public void start(VmId vm) {
    if (clocks.containsKey(vm)) {
      clocks.get(vm).stop();
    }
    long error =
        random.nextLong(2L * MAX_CLOCK_ERROR_PARTS_PER_MILLION) - MAX_CLOCK_ERROR_PARTS_PER_MILLION;
    VmClock clock = new VmClock(time, error, random.nextLong(-1_000_000, 1_000_000));
    Incarnation incarnation = new Incarnation(random.nextLong());
    Transport transport =
        network.connect(vm, clock.deferWhilePaused((from, message) -> receive(vm, from, message)));
    Transport tapped =
        (to, message) -> {
          tap.sent(vm, to, message);
          transport.send(to, message);
        };
    clocks.put(vm, clock);
    limits.put(vm, new Limits(vm, incarnation, clock, tapped, owners.view(vm, clock), settings));
    limits.get(vm).apply(table);
    limits.get(vm).replacePeers(vms);
  }

  /** Applies limits on all VMs at once. */
  public void apply(Map<OrganisationId, RateLimit> newTable) {
    table = new TreeMap<>(newTable);
    table.forEach((id, limit) -> checker.setLimit(id, limit, time.nowMillis()));
    limits.values().forEach(each -> each.apply(table));
  }

  /** Sends a request of an organisation to a VM and records its decision. */
  public void request(
      VmId vm, OrganisationId organisation, String request, Consumer<LimitDecision> then) {
    if (!clocks.get(vm).isRunning()) {
      return;
    }
    limits
        .get(vm)
        .acquire(
            organisation,
            request,
            decision -> {
              if (decision instanceof LimitDecision.Admitted) {
                checker.recordAdmission(organisation, request, time.nowMillis());
              }
              then.accept(decision);
            });
  }

  /**
   * Makes a VM the owner of the first part of every limit from one base time to another, and the
   * next VMs in order the owners of the other parts.
   */
  public void setOwner(VmId vm, long fromMillis, long toMillis) {
    for (OrganisationId id : table.keySet()) {
      int owner = vms.indexOf(vm);
      for (String resource : resources(id)) {
        owners.addOwnership(resource, vms.get(owner++ % vms.size()), fromMillis, toMillis);
      }
    }
  }

  /** Returns the resource names under which the parts of an organisation's limit have owners. */
  public List<String> resources(OrganisationId organisation) {
    int parts = LimitShares.of(table.get(organisation), settings).parts();
    return IntStream.range(0, parts)
        .mapToObj(index -> new LimitPart(organisation, index).resource())
        .toList();
  }

  /** Returns the limits of a VM. */
  public Limits at(VmId vm) {
    return limits.get(vm);
  }

  /** Returns the clock of a VM's process. */
  public VmClock clock(VmId vm) {
    return clocks.get(vm);
  }

  /** Cuts or restores the links in both directions between a VM and all others. */
  public void isolate(VmId vm, boolean cut) {
    for (VmId other : vms) {
      network.cut(vm, other, cut);
      network.cut(other, vm, cut);
    }
  }

  private void receive(VmId vm, VmId from, PeerMessage message) {
    if (message instanceof LimitMessage limit) {
      limits.get(vm).receive(from, limit);
    }
  }
}
