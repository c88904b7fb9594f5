package org.ragworttide.coordination.routing;

/**
 * Remembers in bounded memory at which upstream a chat's prefix was last seen.
 *
 * <p>Invariant: an entry may be lost or wrong, so it is only a hint; a later chat replaces an
 * earlier one in the same place. Confined to the coordination thread.
 */
final class HintTable {
  static final long NONE = 0;

  private final long[] chats;
  private final long[] upstreams;

  HintTable(int entries) {
    chats = new long[entries];
    upstreams = new long[entries];
  }

  void stored(long chatHash, long upstreamHash) {
    if (chats.length > 0) {
      int place = place(chatHash);
      chats[place] = chatHash;
      upstreams[place] = upstreamHash;
    }
  }

  void evicted(long chatHash, long upstreamHash) {
    if (chats.length > 0 && find(chatHash) == upstreamHash) {
      upstreams[place(chatHash)] = NONE;
    }
  }

  /** Returns the hash of the upstream's name, or {@link #NONE}. */
  long find(long chatHash) {
    if (chats.length == 0) {
      return NONE;
    }
    int place = place(chatHash);
    return chats[place] == chatHash ? upstreams[place] : NONE;
  }

  void forgetUpstream(long upstreamHash) {
    for (int i = 0; i < upstreams.length; i++) {
      if (upstreams[i] == upstreamHash) {
        upstreams[i] = NONE;
      }
    }
  }

  private int place(long chatHash) {
    return (int) Long.remainderUnsigned(chatHash, chats.length);
  }
}
