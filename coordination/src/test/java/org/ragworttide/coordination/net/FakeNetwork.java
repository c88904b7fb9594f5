package org.ragworttide.coordination.net;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Delivers messages between state machines in one thread, with loss, delay, duplication and cuts.
 *
 * <p>Invariant: the same seed and calls give the same deliveries. Not safe for use by several
 * threads.
 */
public final class FakeNetwork {
  private final ManualTimerService time;
  private final SplittableRandom random;
  private final Map<VmId, BiConsumer<VmId, PeerMessage>> receivers = new HashMap<>();
  private final Set<Link> cuts = new HashSet<>();
  private double lossShare;
  private double duplicateShare;
  private int maxDelayMillis = 3;
  private long sent;

  /** Creates a network without loss. */
  public FakeNetwork(ManualTimerService time, long seed) {
    this.time = time;
    this.random = new SplittableRandom(seed);
  }

  /** Sets the shares of lost and duplicated messages, and the maximum delay. */
  public FakeNetwork faults(double loss, double duplicates, int maxDelayMillis) {
    this.lossShare = loss;
    this.duplicateShare = duplicates;
    this.maxDelayMillis = maxDelayMillis;
    return this;
  }

  /** Connects a receiver, replacing an earlier one of the same VM; null disconnects it. */
  public Transport connect(VmId vm, BiConsumer<VmId, PeerMessage> receiver) {
    receivers.put(vm, receiver);
    return (to, message) -> send(vm, to, message);
  }

  /** Cuts or restores the link from one VM to another, in that direction only. */
  public void cut(VmId from, VmId to, boolean cut) {
    if (cut) {
      cuts.add(new Link(from, to));
    } else {
      cuts.remove(new Link(from, to));
    }
  }

  /** Restores all links. */
  public void heal() {
    cuts.clear();
  }

  /** Returns how many messages were sent, including lost ones. */
  public long sent() {
    return sent;
  }

  private void send(VmId from, VmId to, PeerMessage message) {
    sent++;
    int copies = random.nextDouble() < duplicateShare ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      boolean lost = random.nextDouble() < lossShare;
      long delay = random.nextLong(maxDelayMillis + 1L);
      if (!lost) {
        time.after(delay, () -> deliver(from, to, message));
      }
    }
  }

  private void deliver(VmId from, VmId to, PeerMessage message) {
    BiConsumer<VmId, PeerMessage> receiver = receivers.get(to);
    if (receiver != null && !cuts.contains(new Link(from, to))) {
      receiver.accept(from, message);
    }
  }

  private record Link(VmId from, VmId to) {}
}
