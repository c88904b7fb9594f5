package org.ragworttide.daemon.runtime;

import java.util.List;
import org.ragworttide.coordination.membership.MembershipQueries;
import org.ragworttide.coordination.message.MembershipMessage.ListPage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.daemon.peer.PeerNetwork;
import org.ragworttide.document.settings.DaemonSettings.Address;

/**
 * Asks seeds for the VM list, one after the other, until there is a list.
 *
 * <p>Invariant: nothing is asked once there is a list. Confined to the coordination thread.
 */
final class SeedQuestions {
  static final long PERIOD_MILLIS = 1_000;

  private final List<Address> seeds;
  private final MembershipQueries membership;
  private final PeerNetwork peers;
  private int current;

  SeedQuestions(List<Address> seeds, MembershipQueries membership, PeerNetwork peers) {
    this.seeds = seeds;
    this.membership = membership;
    this.peers = peers;
  }

  /** Asks the next seed; to be called once a period. */
  void askNext() {
    current++;
    ask();
  }

  /** Asks the same seed for the next page, if the message brought one of several. */
  void received(PeerMessage message) {
    if (message instanceof ListPage) {
      ask();
    }
  }

  private void ask() {
    if (!seeds.isEmpty() && membership.list().isEmpty()) {
      Address seed = seeds.get(Math.floorMod(current, seeds.size()));
      peers.sendToSeed(seed.host(), seed.port(), membership.listQuestion());
    }
  }
}
