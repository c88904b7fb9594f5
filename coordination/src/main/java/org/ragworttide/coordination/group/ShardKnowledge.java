package org.ragworttide.coordination.group;

import org.ragworttide.coordination.id.VmId;

/**
 * Which shards a voter is informed of under the adopted list, and which wait for votes to expire.
 *
 * <p>Invariants: a voter stays informed, or goes on waiting, over a change of the list only if it
 * was a member of both groups and no list version was skipped. Used on the coordination thread
 * only.
 */
final class ShardKnowledge {
  private static final long NONE = 0;

  private final VmId self;
  private final long[] informedVersion = new long[Shard.COUNT];
  private final long[] waitingVersion = new long[Shard.COUNT];
  private final long[] waitingSinceMillis = new long[Shard.COUNT];

  ShardKnowledge(VmId self) {
    this.self = self;
  }

  /** Carries the knowledge of one list over to the next that was adopted. */
  void adopt(GroupSelection previous, GroupSelection next) {
    boolean consecutive = next.list().version() == previous.list().version() + 1;
    for (int number = 0; number < Shard.COUNT; number++) {
      Shard shard = new Shard(number);
      boolean inBoth = previous.group(shard).contains(self) && next.group(shard).contains(self);
      informedVersion[number] = carry(informedVersion[number], consecutive && inBoth, next);
      waitingVersion[number] = carry(waitingVersion[number], consecutive && inBoth, next);
    }
  }

  private static long carry(long version, boolean kept, GroupSelection next) {
    return version != NONE && kept ? next.list().version() : NONE;
  }

  boolean isInformed(int shard, long version) {
    return informedVersion[shard] == version;
  }

  void inform(int shard, long version) {
    informedVersion[shard] = version;
  }

  /** Begins to wait until all votes that were given before are expired. */
  void beginWait(int shard, long version, long nowMillis) {
    if (waitingVersion[shard] != version) {
      waitingVersion[shard] = version;
      waitingSinceMillis[shard] = nowMillis;
    }
  }

  boolean isWaiting(int shard, long version) {
    return waitingVersion[shard] == version;
  }

  boolean hasWaited(int shard, long version, long keepMillis, long nowMillis) {
    return isWaiting(shard, version) && nowMillis - waitingSinceMillis[shard] >= keepMillis;
  }
}
