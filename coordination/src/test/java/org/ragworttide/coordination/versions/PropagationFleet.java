package org.ragworttide.coordination.versions;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.Membership;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.membership.VmState;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.message.VersionMessage;
import org.ragworttide.coordination.net.FakeNetwork;
import org.ragworttide.coordination.net.MessageTap;
import org.ragworttide.coordination.net.VmClock;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Simulates the membership views and the propagation of versions of many VMs in one thread.
 *
 * <p>Invariant: the same seed and calls give the same run; every document that comes into force is
 * checked to be newer than the previous one in that run of a VM's process. Not safe for use by
 * several threads.
 */
public final class PropagationFleet {
  private static final int ZONES = 3;

  /** The reference clock of the simulation. */
  public final ManualTimerService time = new ManualTimerService();

  /** The network between the VMs. */
  public final FakeNetwork network;

  /** The VMs in order. */
  public final List<VmId> vms = new ArrayList<>();

  private final Map<VmId, Node> nodes = new HashMap<>();
  private final SplittableRandom random;
  private final MessageTap tap;
  private final VmList list;
  private long platformVersion;
  private byte[] platformDocument = {};
  private boolean platformDown;

  /** Creates a fleet over three availability zones. */
  public PropagationFleet(long seed, int size, MessageTap tap) {
    this.random = new SplittableRandom(seed);
    this.network = new FakeNetwork(time, random.nextLong());
    this.tap = tap;
    List<VmEntry> entries = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      vms.add(new VmId("vm-" + i));
      ZoneId zone = new ZoneId("zone-" + i % ZONES);
      entries.add(new VmEntry(vms.getLast(), zone, VmState.LIVE, "127.0.0.1:" + (7_000 + i)));
    }
    this.list = new VmList(1, entries);
    vms.forEach(this::start);
  }

  /** Starts or restarts a VM's process with empty state. */
  public void start(VmId vm) {
    stop(vm);
    nodes.put(vm, new Node(vm));
    nodes.get(vm).membership.offer(list);
  }

  /** Stops a VM's process. */
  public void stop(VmId vm) {
    if (nodes.containsKey(vm)) {
      nodes.remove(vm).clock.stop();
      network.connect(vm, null);
    }
  }

  /** Publishes a document, which later reads of the platform return. */
  public void publish(long version, byte[] document) {
    platformVersion = version;
    platformDocument = document;
  }

  /** Sets whether the platform's service is unavailable. */
  public void platformDown(boolean down) {
    platformDown = down;
  }

  /** Makes the VM read the platform. */
  public void read(VmId vm) {
    Node node = nodes.get(vm);
    if (platformDown) {
      node.versions.platformUnavailable();
    } else {
      node.versions.offer(platformVersion, platformDocument);
    }
  }

  /** Makes all VMs that are readers read the platform. */
  public void readersRead() {
    running().stream().filter(vm -> at(vm).isReader()).forEach(this::read);
  }

  /** Returns the VMs whose process is running. */
  public List<VmId> running() {
    return vms.stream().filter(nodes::containsKey).toList();
  }

  /** Returns the version propagation of a VM. */
  public Versions at(VmId vm) {
    return nodes.get(vm).versions;
  }

  /** Returns the membership view of a VM. */
  public Membership membership(VmId vm) {
    return nodes.get(vm).membership;
  }

  /** Returns the incarnation of a VM's process. */
  public Incarnation incarnation(VmId vm) {
    return nodes.get(vm).incarnation;
  }

  /** Returns the lowest version in force on a running VM. */
  public long lowestVersion() {
    return running().stream().mapToLong(vm -> at(vm).version()).min().orElse(0);
  }

  /** Cuts or restores both directions between two sets of VMs. */
  public void split(List<VmId> one, List<VmId> other, boolean cut) {
    for (VmId left : one) {
      for (VmId right : other) {
        network.cut(left, right, cut);
        network.cut(right, left, cut);
      }
    }
  }

  private final class Node implements VersionHost {
    private final VmId vm;
    private final Incarnation incarnation = new Incarnation(random.nextLong());
    private final VmClock clock =
        new VmClock(time, random.nextLong(2_000) - 1_000, random.nextLong(-999_999, 1_000));
    private final Membership membership;
    private final Versions versions;
    private long inForce;

    private Node(VmId vm) {
      this.vm = vm;
      Transport plain = network.connect(vm, clock.deferWhilePaused(this::receive));
      Transport tapped =
          (to, message) -> {
            tap.sent(vm, to, message);
            plain.send(to, message);
          };
      Random choices = new Random(random.nextLong());
      membership = new Membership(vm, incarnation, clock, tapped, choices);
      versions = new Versions(vm, clock, tapped, membership, this, choices);
    }

    private void receive(VmId from, PeerMessage message) {
      switch (message) {
        case MembershipMessage view -> membership.receive(from, view);
        case VersionMessage version -> versions.receive(from, version);
        default -> throw new IllegalStateException("unexpected " + message);
      }
    }

    @Override
    public boolean accepts(long version, byte[] document) {
      return new String(document, 0, Math.min(document.length, 64), StandardCharsets.UTF_8)
          .startsWith("{\"version\":" + version + ",");
    }

    @Override
    public void putInForce(long version, byte[] document) {
      if (version <= inForce) {
        throw new AssertionError(vm + " decreased its version from " + inForce + " to " + version);
      }
      inForce = version;
    }

    @Override
    public void readPlatform() {
      read(vm);
    }
  }

  /** Returns a document of about the given size, in which one key's state changes per version. */
  public static byte[] document(long version, int sizeBytes) {
    StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"keys\":[");
    for (int i = 0; text.length() < sizeBytes; i++) {
      text.append("{\"organisation\":\"o").append(i / 4).append("\",\"sha256\":\"");
      text.append(DocumentDigest.of(new byte[] {(byte) i, (byte) (i >> 8)}).hex());
      text.append("\",\"withdrawn\":").append(i * 7L % 1_000 < version % 1_000).append("},");
    }
    return text.append("{}]}").toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Advances the time in steps and calls the check for each running VM after every step. */
  public void advance(long millis, long stepMillis, Consumer<VmId> check) {
    for (long done = 0; done < millis; done += stepMillis) {
      time.advance(stepMillis);
      running().forEach(check);
    }
  }
}
