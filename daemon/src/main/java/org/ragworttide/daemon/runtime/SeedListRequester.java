package org.ragworttide.daemon.runtime;

import java.util.List;
import org.ragworttide.coordination.membership.MembershipQueries;
import org.ragworttide.coordination.message.MembershipMessage.ListPage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.daemon.peer.PeerNetwork;
import org.ragworttide.document.settings.DaemonSettings.Address;

/**
 * Requests the VM list from the seeds, one after the other, until this daemon has a list.
 *
 * <p>Invariant: no request is sent once there is a list. Confined to the coordination thread.
 */
final class SeedListRequester {
  static final long PERIOD_MILLIS = 1_000;

  private final List<Address> seeds;
  private final MembershipQueries membership;
  private final PeerNetwork peers;
  private int current;

  SeedListRequester(List<Address> seeds, MembershipQueries membership, PeerNetwork peers) {
    this.seeds = seeds;
    this.membership = membership;
    this.peers = peers;
  }

  /** Sends a request to the next seed; called once a period. */
  void requestFromNextSeed() {
    current++;
    sendRequest();
  }

  /** Requests the next page from the same seed if the message is a page of the list. */
  void receive(PeerMessage message) {
    if (message instanceof ListPage) {
      sendRequest();
    }
  }

  private void sendRequest() {
    if (!seeds.isEmpty() && membership.list().isEmpty()) {
      Address seed = seeds.get(Math.floorMod(current, seeds.size()));
      peers.sendToSeed(seed.host(), seed.port(), membership.nextListRequest());
    }
  }
}
