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
 * Remembers who owns shards that this VM does not vote for, and asks their voters.
 *
 * <p>Invariants: a hint carries no promise, and one past its time to live is asked for anew when it
 * is looked up; a shard whose owner was not told twice alike is asked for without a look-up, each
 * at most once a tick. Used on the coordination thread only.
 */
final class OwnerHints {
  private static final int MAX_SHARDS_PER_TICK = 64;
  private static final int ASKS_OF_A_LOOK_UP = 5;

  private final VmId self;
  private final TimerService timers;
  private final Transport transport;
  private final long timeToLiveMillis;
  private final Map<Integer, Hint> hints = new HashMap<>();
  private final TreeMap<Integer, Integer> asksLeft = new TreeMap<>();
  private long nextSearchMillis;
  private int turn;

  OwnerHints(VmId self, TimerService timers, Transport transport, long timeToLiveMillis) {
    this.self = self;
    this.timers = timers;
    this.transport = transport;
    this.timeToLiveMillis = timeToLiveMillis;
  }

  /** Returns the owner that was told last; an old word is asked for anew at the next tick. */
  Optional<VmId> find(int shard) {
    Hint hint = hints.get(shard);
    if (hint == null || timers.nowMillis() >= hint.untilMillis) {
      asksLeft.put(shard, ASKS_OF_A_LOOK_UP);
    }
    return Optional.ofNullable(hint).map(Hint::vm);
  }

  /** Asks one voter of each wanted shard, another one at the next tick if it does not know. */
  void tick(GroupSelection groups) {
    turn++;
    searchUnknown(groups);
    Map<VmId, List<Integer>> byVoter = new TreeMap<>();
    for (int shard : nextShards()) {
      asksLeft.computeIfPresent(shard, (any, left) -> left > 1 ? left - 1 : null);
      List<VmId> group = groups.group(new Shard(shard));
      if (!group.isEmpty()) {
        VmId voter = group.get(Math.floorMod(turn, group.size()));
        byVoter.computeIfAbsent(voter, any -> new ArrayList<>()).add(shard);
      }
    }
    byVoter.forEach((voter, shards) -> transport.send(voter, new OwnerRequest(shards)));
  }

  private List<Integer> nextShards() {
    return asksLeft.keySet().stream().limit(MAX_SHARDS_PER_TICK).toList();
  }

  private void searchUnknown(GroupSelection groups) {
    if (timers.nowMillis() >= nextSearchMillis) {
      nextSearchMillis = timers.nowMillis() + timeToLiveMillis;
      IntStream.range(0, Shard.COUNT)
          .filter(shard -> !isConfirmed(shard))
          .filter(shard -> !groups.group(new Shard(shard)).contains(self))
          .forEach(shard -> asksLeft.putIfAbsent(shard, 1));
    }
  }

  private boolean isConfirmed(int shard) {
    Hint hint = hints.get(shard);
    return hint != null && hint.confirmed;
  }

  void onTold(List<OwnedShard> owned) {
    long now = timers.nowMillis();
    for (OwnedShard told : owned) {
      Hint earlier = hints.get(told.shard());
      // A single voter's word may be of a campaign that fails.
      boolean confirmed = earlier != null && earlier.vm.equals(told.owner());
      boolean lookedUp = asksLeft.remove(told.shard()) != null;
      long until = lookedUp ? now + timeToLiveMillis : now;
      hints.put(told.shard(), new Hint(told.owner(), until, confirmed));
    }
  }

  /** Forgets the owners that must give up under the adopted list. */
  void onAdopted(GroupSelection groups) {
    hints
        .entrySet()
        .removeIf(hint -> !groups.group(new Shard(hint.getKey())).contains(hint.getValue().vm));
  }

  private record Hint(VmId vm, long untilMillis, boolean confirmed) {}
}
