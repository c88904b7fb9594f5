package org.ragworttide.coordination.admission;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.AdmissionMessage.TurnedCold;
import org.ragworttide.coordination.message.Transport;

/**
 * Broadcast of a cold turn of an upstream to all daemons, over one level of relays.
 *
 * <p>Invariant: no daemon sends more than about twice the square root of the number of daemons for
 * one cold turn. Confined to the coordination thread.
 */
final class FanOut {
  private static final int MAX_SEEN_EPISODES = 256;

  private final VmId self;
  private final Transport transport;
  private final Consumer<TurnedCold> localListener;
  private final Set<Long> seenEpisodes = new LinkedHashSet<>();
  private List<VmId> members = List.of();

  FanOut(VmId self, Transport transport, Consumer<TurnedCold> localListener) {
    this.self = self;
    this.transport = transport;
    this.localListener = localListener;
  }

  void setMembers(List<VmId> vms) {
    members = vms.stream().sorted().toList();
  }

  /**
   * Sends the notice to the relays; each forwards it to the daemons between it and the next relay
   * in the list.
   */
  void broadcast(TurnedCold notice) {
    addEpisode(notice);
    localListener.accept(notice);
    int stride = stride();
    for (int i = 0; i < members.size(); i += stride) {
      send(members.get(i), notice);
    }
    relay(notice);
  }

  void receive(TurnedCold notice) {
    if (!addEpisode(notice)) {
      return;
    }
    localListener.accept(notice);
    if (notice.relay()) {
      relay(notice);
    }
  }

  private void relay(TurnedCold notice) {
    int selfIndex = members.indexOf(self);
    int endIndex = Math.min(members.size(), selfIndex + stride());
    TurnedCold finalHop =
        new TurnedCold(notice.upstream(), notice.upstreamIncarnation(), notice.episode(), false);
    for (int i = Math.max(0, selfIndex + 1); i < endIndex; i++) {
      send(members.get(i), finalHop);
    }
  }

  private int stride() {
    return Math.max(1, (int) Math.ceil(Math.sqrt(members.size())));
  }

  private void send(VmId to, TurnedCold notice) {
    if (!to.equals(self)) {
      transport.send(to, notice);
    }
  }

  private boolean addEpisode(TurnedCold notice) {
    if (seenEpisodes.size() >= MAX_SEEN_EPISODES) {
      seenEpisodes.remove(seenEpisodes.iterator().next());
    }
    return seenEpisodes.add(notice.episode());
  }
}
