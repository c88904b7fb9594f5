package org.ragworttide.coordination.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.VmId;

/**
 * Votes of one round of requests.
 *
 * <p>Invariant: only votes under the list version of the round count. Used on the coordination
 * thread only.
 */
final class VoteRound {
  private final long version;
  private final long sentAtMillis;
  private final Map<Integer, Set<VmId>> voters = new HashMap<>();

  VoteRound(long version, long sentAtMillis, List<Integer> shards) {
    this.version = version;
    this.sentAtMillis = sentAtMillis;
    shards.forEach(shard -> voters.put(shard, new HashSet<>()));
  }

  long version() {
    return version;
  }

  long sentAtMillis() {
    return sentAtMillis;
  }

  /**
   * Counts a vote and returns the number of votes for the shard, or zero if the round does not
   * request the shard.
   */
  int count(int shard, VmId voter) {
    Set<VmId> counted = voters.get(shard);
    if (counted == null) {
      return 0;
    }
    counted.add(voter);
    return counted.size();
  }

  void remove(int shard) {
    voters.remove(shard);
  }
}
