package org.ragworttide.coordination.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.ragworttide.coordination.group.GroupSelection;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LeaseMessage.OwnedShard;
import org.ragworttide.coordination.message.LeaseMessage.OwnerRequest;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;

/**
 * Caches the owners of shards that this VM does not vote for, and queries their voters.
 *
 * <p>Invariants: a hint carries no guarantee, and a hint past its time to live is queried again
 * when it is looked up. A shard is also queried without a lookup unless its last two reports name
 * the same owner. Each shard is queried at most once per tick. Used on the coordination thread
 * only.
 */
final class OwnerHints {
  private static final int MAX_SHARDS_PER_TICK = 64;
  private static final int QUERIES_PER_LOOKUP = 5;

  private final VmId self;
  private final TimerService timers;
  private final Transport transport;
  private final long timeToLiveMillis;
  private final Map<Integer, Hint> hints = new HashMap<>();
  private final TreeMap<Integer, Integer> remainingQueries = new TreeMap<>();
  private long nextScheduleMillis;
  private int tickCount;

  OwnerHints(VmId self, TimerService timers, Transport transport, long timeToLiveMillis) {
    this.self = self;
    this.timers = timers;
    this.transport = transport;
    this.timeToLiveMillis = timeToLiveMillis;
  }

  /** Returns the last reported owner; an expired hint is queried again at the next tick. */
  Optional<VmId> find(int shard) {
    Hint hint = hints.get(shard);
    if (hint == null || timers.nowMillis() >= hint.expiresAtMillis) {
      remainingQueries.put(shard, QUERIES_PER_LOOKUP);
    }
    return Optional.ofNullable(hint).map(Hint::vm);
  }

  /**
   * Queries one voter of each wanted shard; if it does not know the owner, the next tick queries
   * another one.
   */
  void tick(GroupSelection groups) {
    tickCount++;
    scheduleUnconfirmed(groups);
    Map<VmId, List<Integer>> byVoter = new TreeMap<>();
    for (int shard : nextShards()) {
      remainingQueries.computeIfPresent(
          shard, (key, remaining) -> remaining > 1 ? remaining - 1 : null);
      List<VmId> group = groups.group(new Shard(shard));
      if (!group.isEmpty()) {
        VmId voter = group.get(Math.floorMod(tickCount, group.size()));
        byVoter.computeIfAbsent(voter, key -> new ArrayList<>()).add(shard);
      }
    }
    byVoter.forEach((voter, shards) -> transport.send(voter, new OwnerRequest(shards)));
  }

  private List<Integer> nextShards() {
    return remainingQueries.keySet().stream().limit(MAX_SHARDS_PER_TICK).toList();
  }

  private void scheduleUnconfirmed(GroupSelection groups) {
    if (timers.nowMillis() >= nextScheduleMillis) {
      nextScheduleMillis = timers.nowMillis() + timeToLiveMillis;
      IntStream.range(0, Shard.COUNT)
          .filter(shard -> !isConfirmed(shard))
          .filter(shard -> !groups.group(new Shard(shard)).contains(self))
          .forEach(shard -> remainingQueries.putIfAbsent(shard, 1));
    }
  }

  private boolean isConfirmed(int shard) {
    Hint hint = hints.get(shard);
    return hint != null && hint.confirmed;
  }

  void onReported(List<OwnedShard> owned) {
    long now = timers.nowMillis();
    for (OwnedShard reported : owned) {
      Hint earlier = hints.get(reported.shard());
      // A single report may name a candidate whose campaign fails.
      boolean confirmed = earlier != null && earlier.vm.equals(reported.owner());
      boolean wasQueried = remainingQueries.remove(reported.shard()) != null;
      long expiresAt = wasQueried ? now + timeToLiveMillis : now;
      hints.put(reported.shard(), new Hint(reported.owner(), expiresAt, confirmed));
    }
  }

  /**
   * Removes the hints whose owners are not in the groups of their shards under the adopted list.
   */
  void onAdopted(GroupSelection groups) {
    hints
        .entrySet()
        .removeIf(hint -> !groups.group(new Shard(hint.getKey())).contains(hint.getValue().vm));
  }

  private record Hint(VmId vm, long expiresAtMillis, boolean confirmed) {}
}
