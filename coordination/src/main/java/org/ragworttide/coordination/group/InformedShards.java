package org.ragworttide.coordination.group;

import org.ragworttide.coordination.id.VmId;

/**
 * Records for which shards a voter is informed under the adopted list, and for which it waits until
 * earlier votes expire.
 *
 * <p>Invariants: a voter stays informed, or goes on waiting, across a change of the list only if it
 * is a member of both groups and no list version is skipped. Used on the coordination thread only.
 */
final class InformedShards {
  private static final long NONE = 0;

  private final VmId self;
  private final long[] informedVersion = new long[Shard.COUNT];
  private final long[] waitingVersion = new long[Shard.COUNT];
  private final long[] waitingSinceMillis = new long[Shard.COUNT];

  InformedShards(VmId self) {
    this.self = self;
  }

  /** Carries the state under one list over to the next adopted list. */
  void carryOver(GroupSelection previous, GroupSelection next) {
    boolean consecutive = next.list().version() == previous.list().version() + 1;
    for (int number = 0; number < Shard.COUNT; number++) {
      Shard shard = new Shard(number);
      boolean inBoth = previous.group(shard).contains(self) && next.group(shard).contains(self);
      informedVersion[number] =
          carriedVersion(informedVersion[number], consecutive && inBoth, next);
      waitingVersion[number] = carriedVersion(waitingVersion[number], consecutive && inBoth, next);
    }
  }

  private static long carriedVersion(long version, boolean kept, GroupSelection next) {
    return version != NONE && kept ? next.list().version() : NONE;
  }

  boolean isInformed(int shard, long version) {
    return informedVersion[shard] == version;
  }

  void markInformed(int shard, long version) {
    informedVersion[shard] = version;
  }

  /** Starts the wait until all earlier votes have expired. */
  void beginWait(int shard, long version, long nowMillis) {
    if (waitingVersion[shard] != version) {
      waitingVersion[shard] = version;
      waitingSinceMillis[shard] = nowMillis;
    }
  }

  boolean isWaiting(int shard, long version) {
    return waitingVersion[shard] == version;
  }

  boolean isWaitOver(int shard, long version, long keepMillis, long nowMillis) {
    return isWaiting(shard, version) && nowMillis - waitingSinceMillis[shard] >= keepMillis;
  }
}
