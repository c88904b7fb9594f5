package org.ragworttide.coordination.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.membership.VmState;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Simulates many state machines over one faulty network, with published VM lists that they adopt
 * with a delay.
 *
 * <p>Invariant: the same seed and calls give the same run. Not safe for use by several threads.
 *
 * @param <P> the state machine under test
 */
public final class Fleet<P> {
  private static final int ZONES = 3;

  private final ManualTimerService baseTime = new ManualTimerService();
  private final SplittableRandom random;
  private final FakeNetwork network;
  private final Factory<P> factory;
  private final Map<VmId, Node<P>> nodes = new TreeMap<>();
  private final List<VmList> published = new ArrayList<>();

  /** Creates a fleet without VMs. */
  public Fleet(long seed, Factory<P> factory) {
    this.random = new SplittableRandom(seed);
    this.network = new FakeNetwork(baseTime, random.nextLong());
    this.factory = factory;
  }

  /** Publishes a list of live VMs, stops those that are no longer listed and starts new ones. */
  public void publish(String... vms) {
    VmList list = list(published.size() + 1L, List.of(vms));
    published.add(list);
    nodes.values().stream()
        .filter(node -> list.find(node.vm).isEmpty())
        .toList()
        .forEach(node -> end(node.vm));
    list.vms().forEach(vm -> nodes.computeIfAbsent(vm.id(), id -> start(id, list)));
  }

  /** Returns a list of live VMs spread over three availability zones. */
  public static VmList list(long version, List<String> vms) {
    List<VmEntry> entries = new ArrayList<>();
    for (String vm : vms) {
      ZoneId zone = new ZoneId("zone-" + Math.floorMod(vm.hashCode(), ZONES));
      entries.add(new VmEntry(new VmId(vm), zone, VmState.LIVE, "127.0.0.1:1"));
    }
    return new VmList(version, entries);
  }

  /** Restarts a VM's process without its state, with a published list that contains the VM. */
  public void restart(VmId vm, long version) {
    end(vm);
    nodes.put(vm, start(vm, published.get((int) version - 1)));
  }

  private void end(VmId vm) {
    nodes.remove(vm).timers.end();
    network.connect(vm, null);
  }

  private Node<P> start(VmId vm, VmList list) {
    double rate = 0.992 + random.nextDouble() * 0.016;
    NodeTimers timers = new NodeTimers(baseTime, rate);
    List<P> part = new ArrayList<>(1);
    Transport transport =
        network.connect(
            vm,
            (from, message) -> timers.run(() -> factory.deliver(part.getFirst(), from, message)));
    Incarnation incarnation = new Incarnation(random.nextLong());
    part.add(factory.create(vm, incarnation, timers, transport));
    factory.adopt(part.getFirst(), list);
    return new Node<>(vm, part.getFirst(), timers, list.version());
  }

  /** Makes a VM adopt a published list. */
  public void adopt(VmId vm, long version) {
    Node<P> node = nodes.get(vm);
    node.version = Math.max(node.version, version);
    node.timers.run(() -> factory.adopt(node.part, published.get((int) version - 1)));
  }

  /** Makes all VMs adopt, in order, the published lists that they have not adopted yet. */
  public void adoptAll() {
    for (VmId vm : vms()) {
      for (long version = nodes.get(vm).version + 1; version <= published.size(); version++) {
        adopt(vm, version);
      }
    }
  }

  /** Advances the time and calls the check after every step. */
  public void run(long millis, long stepMillis, Consumer<Fleet<P>> check) {
    for (long passed = 0; passed < millis; passed += stepMillis) {
      baseTime.advance(stepMillis);
      check.accept(this);
    }
  }

  /** Returns the VMs that are running. */
  public List<VmId> vms() {
    return List.copyOf(nodes.keySet());
  }

  /** Returns a VM's state machine. */
  public P stateMachine(VmId vm) {
    return nodes.get(vm).part;
  }

  /** Returns a VM's clock. */
  public NodeTimers timers(VmId vm) {
    return nodes.get(vm).timers;
  }

  /** Returns the newest list version that was passed to a VM. */
  public long version(VmId vm) {
    return nodes.get(vm).version;
  }

  /** Returns the published lists. */
  public List<VmList> published() {
    return published;
  }

  /** Returns the network. */
  public FakeNetwork network() {
    return network;
  }

  /** Returns the random generator. */
  public SplittableRandom random() {
    return random;
  }

  /**
   * Creates the state machine under test and passes it its input.
   *
   * @param <P> the state machine
   */
  public interface Factory<P> {
    /** Creates the state machine of a starting process. */
    P create(VmId vm, Incarnation incarnation, NodeTimers timers, Transport transport);

    /** Passes a list to the state machine. */
    void adopt(P part, VmList list);

    /** Passes a message to the state machine. */
    void deliver(P part, VmId from, PeerMessage message);
  }

  private static final class Node<P> {
    private final VmId vm;
    private final P part;
    private final NodeTimers timers;
    private long version;

    private Node(VmId vm, P part, NodeTimers timers, long version) {
      this.vm = vm;
      this.part = part;
      this.timers = timers;
      this.version = version;
    }
  }
}
