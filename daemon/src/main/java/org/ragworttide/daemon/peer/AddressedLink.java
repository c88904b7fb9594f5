package org.ragworttide.daemon.peer;

import org.ragworttide.protocol.wire.PeerFrame;

/**
 * The link to one peer's address, which is opened anew when the peer stays silent.
 *
 * <p>A connection across a lost network looks open for minutes, and TCP takes as long to resume it.
 * Invariant: the link is renewed at most once in the time of silence. Confined to the coordination
 * thread.
 */
final class AddressedLink {
  static final long SILENCE_MILLIS = 10_000;
  private static final long NEVER = Long.MAX_VALUE;

  private final String address;
  private final PeerLink link;
  private long unheardSinceMillis = NEVER;

  AddressedLink(String address, PeerLink link) {
    this.address = address;
    this.link = link;
  }

  boolean leadsTo(String otherAddress) {
    return address.equals(otherAddress);
  }

  void offer(PeerFrame frame, long nowMillis) {
    if (unheardSinceMillis != NEVER && nowMillis - unheardSinceMillis >= SILENCE_MILLIS) {
      link.renew();
      unheardSinceMillis = NEVER;
    }
    if (unheardSinceMillis == NEVER) {
      unheardSinceMillis = nowMillis;
    }
    link.offer(frame);
  }

  /** Notes that the peer has sent something. */
  void heard() {
    unheardSinceMillis = NEVER;
  }

  void dispose() {
    link.dispose();
  }
}
