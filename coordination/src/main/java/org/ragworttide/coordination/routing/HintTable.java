package org.ragworttide.coordination.routing;

/**
 * Maps chats to the upstream that last stored their prefix, in bounded memory.
 *
 * <p>Invariant: an entry may be missing or wrong, so it is only a hint; a later chat replaces an
 * earlier one in the same bucket. Confined to the coordination thread.
 */
final class HintTable {
  static final long NONE = 0;

  private final long[] chats;
  private final long[] upstreams;

  HintTable(int entries) {
    chats = new long[entries];
    upstreams = new long[entries];
  }

  void put(long chatHash, long upstreamHash) {
    if (chats.length > 0) {
      int bucket = bucket(chatHash);
      chats[bucket] = chatHash;
      upstreams[bucket] = upstreamHash;
    }
  }

  void remove(long chatHash, long upstreamHash) {
    if (chats.length > 0 && find(chatHash) == upstreamHash) {
      upstreams[bucket(chatHash)] = NONE;
    }
  }

  /** Returns the hash of the upstream's id, or {@link #NONE}. */
  long find(long chatHash) {
    if (chats.length == 0) {
      return NONE;
    }
    int bucket = bucket(chatHash);
    return chats[bucket] == chatHash ? upstreams[bucket] : NONE;
  }

  void removeUpstream(long upstreamHash) {
    for (int i = 0; i < upstreams.length; i++) {
      if (upstreams[i] == upstreamHash) {
        upstreams[i] = NONE;
      }
    }
  }

  private int bucket(long chatHash) {
    return (int) Long.remainderUnsigned(chatHash, chats.length);
  }
}
