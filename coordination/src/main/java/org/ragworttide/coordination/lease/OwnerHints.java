package org.ragworttide.coordination.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
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
 * <p>Invariants: a hint is never older than its time to live and carries no promise; only shards
 * that were looked up are asked for, each at most once a tick. Used on the coordination thread
 * only.
 */
final class OwnerHints {
  private static final int MAX_SHARDS_PER_TICK = 64;

  private final TimerService timers;
  private final Transport transport;
  private final long timeToLiveMillis;
  private final Map<Integer, Hint> hints = new HashMap<>();
  private final TreeSet<Integer> wanted = new TreeSet<>();
  private int turn;

  OwnerHints(TimerService timers, Transport transport, long timeToLiveMillis) {
    this.timers = timers;
    this.transport = transport;
    this.timeToLiveMillis = timeToLiveMillis;
  }

  /** Returns the owner if it was told lately; otherwise it is asked for at the next tick. */
  Optional<VmId> find(int shard) {
    Hint hint = hints.get(shard);
    if (hint != null && timers.nowMillis() < hint.untilMillis) {
      return Optional.of(hint.vm);
    }
    wanted.add(shard);
    return Optional.empty();
  }

  /** Asks one voter of each wanted shard, another one at the next tick. */
  void tick(GroupSelection groups) {
    turn++;
    Map<VmId, List<Integer>> byVoter = new TreeMap<>();
    for (int asked = 0; asked < MAX_SHARDS_PER_TICK && !wanted.isEmpty(); asked++) {
      int shard = wanted.pollFirst();
      List<VmId> group = groups.group(new Shard(shard));
      if (!group.isEmpty()) {
        VmId voter = group.get(Math.floorMod(turn, group.size()));
        byVoter.computeIfAbsent(voter, any -> new ArrayList<>()).add(shard);
      }
    }
    byVoter.forEach((voter, shards) -> transport.send(voter, new OwnerRequest(shards)));
  }

  void onTold(List<OwnedShard> owned) {
    long until = timers.nowMillis() + timeToLiveMillis;
    owned.forEach(told -> hints.put(told.shard(), new Hint(told.owner(), until)));
  }

  /** Forgets all hints, as owners may have changed with the list. */
  void clear() {
    hints.clear();
  }

  private record Hint(VmId vm, long untilMillis) {}
}
