package org.ragworttide.daemon.peer;

import org.ragworttide.protocol.wire.PeerFrame;

/**
 * The link to the address of one peer; its connection is replaced when the peer stays silent.
 *
 * <p>A connection across a partitioned network appears open for minutes, and TCP takes as long to
 * resume it. Invariant: the connection is replaced at most once per silence timeout. Confined to
 * the coordination thread.
 */
final class AddressedLink {
  static final long SILENCE_TIMEOUT_MILLIS = 10_000;
  private static final long NEVER = Long.MAX_VALUE;

  private final String address;
  private final PeerLink link;
  private long silentSinceMillis = NEVER;

  AddressedLink(String address, PeerLink link) {
    this.address = address;
    this.link = link;
  }

  boolean hasAddress(String otherAddress) {
    return address.equals(otherAddress);
  }

  void offer(PeerFrame frame, long nowMillis) {
    if (silentSinceMillis != NEVER && nowMillis - silentSinceMillis >= SILENCE_TIMEOUT_MILLIS) {
      link.reset();
      silentSinceMillis = NEVER;
    }
    if (silentSinceMillis == NEVER) {
      silentSinceMillis = nowMillis;
    }
    link.offer(frame);
  }

  /** Records that the peer has sent a message. */
  void recordReceived() {
    silentSinceMillis = NEVER;
  }

  void dispose() {
    link.dispose();
  }
}
