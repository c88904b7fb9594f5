package org.ragworttide.coordination.admission;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.AdmissionMessage.TurnedCold;
import org.ragworttide.coordination.message.Transport;

/**
 * Tells all daemons that an upstream has turned cold, over one level of relays.
 *
 * <p>Invariant: no daemon sends more than about twice the square root of the number of daemons for
 * one event. Confined to the coordination thread.
 */
final class FanOut {
  private static final int REMEMBERED_EPISODES = 256;

  private final VmId self;
  private final Transport transport;
  private final Consumer<TurnedCold> local;
  private final Set<Long> episodes = new LinkedHashSet<>();
  private List<VmId> members = List.of();

  FanOut(VmId self, Transport transport, Consumer<TurnedCold> local) {
    this.self = self;
    this.transport = transport;
    this.local = local;
  }

  void members(List<VmId> vms) {
    members = vms.stream().sorted().toList();
  }

  /** Tells the relays, each of which tells the daemons that follow it in the list. */
  void start(TurnedCold event) {
    remember(event);
    local.accept(event);
    int stride = stride();
    for (int i = 0; i < members.size(); i += stride) {
      send(members.get(i), event);
    }
    relay(event);
  }

  void receive(TurnedCold event) {
    if (!remember(event)) {
      return;
    }
    local.accept(event);
    if (event.relay()) {
      relay(event);
    }
  }

  private void relay(TurnedCold event) {
    int at = members.indexOf(self);
    int end = Math.min(members.size(), at + stride());
    TurnedCold last =
        new TurnedCold(event.upstream(), event.upstreamIncarnation(), event.episode(), false);
    for (int i = Math.max(0, at + 1); i < end; i++) {
      send(members.get(i), last);
    }
  }

  private int stride() {
    return Math.max(1, (int) Math.ceil(Math.sqrt(members.size())));
  }

  private void send(VmId to, TurnedCold event) {
    if (!to.equals(self)) {
      transport.send(to, event);
    }
  }

  private boolean remember(TurnedCold event) {
    if (episodes.size() >= REMEMBERED_EPISODES) {
      episodes.remove(episodes.iterator().next());
    }
    return episodes.add(event.episode());
  }
}
