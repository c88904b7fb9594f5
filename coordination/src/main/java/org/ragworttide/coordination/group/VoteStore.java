package org.ragworttide.coordination.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.GroupMessage.KnownVote;

/**
 * Stores the unexpired votes that a voter gave or learned, by shard and key.
 *
 * <p>Invariants: the holder of a key's vote changes only after the vote has expired or was
 * released; a key with votes for several holders is contested until the last has expired. Bounded
 * in number. Used on the coordination thread only.
 */
final class VoteStore {
  private static final long NEVER_RELEASED = Long.MAX_VALUE;

  private final int maxVotes;
  private final Map<Integer, Map<String, Vote>> byShard = new HashMap<>();
  private int size;

  VoteStore(int maxVotes) {
    this.maxVotes = maxVotes;
  }

  Optional<Vote> find(int shard, String key, long nowMillis) {
    Vote vote = byShard.getOrDefault(shard, Map.of()).get(key);
    return vote == null || vote.expiresAtMillis <= nowMillis ? Optional.empty() : Optional.of(vote);
  }

  boolean isFull() {
    return size >= maxVotes;
  }

  void put(int shard, String key, Vote vote) {
    if (byShard.computeIfAbsent(shard, any -> new HashMap<>()).put(key, vote) == null) {
      size++;
    }
  }

  /** Adds a vote learned from a peer; the store keeps it even if it exceeds the bound. */
  void learn(int shard, KnownVote known, long nowMillis) {
    long expires = nowMillis + ClockBound.stretchMillis(known.remainingMillis());
    Vote learned =
        new Vote(known.holder(), known.incarnation(), NEVER_RELEASED, known.contested(), expires);
    Vote merged =
        find(shard, known.key(), nowMillis).map(own -> own.merge(learned)).orElse(learned);
    put(shard, known.key(), merged);
  }

  void release(int shard, String key, VmId holder, Incarnation incarnation, long attempt) {
    Map<String, Vote> votes = byShard.getOrDefault(shard, Map.of());
    Vote vote = votes.get(key);
    if (vote != null
        && !vote.contested
        && vote.isFor(holder, incarnation)
        && vote.attempt <= attempt) {
      votes.remove(key);
      size--;
    }
  }

  List<KnownVote> known(int shard, long nowMillis) {
    List<KnownVote> known = new ArrayList<>();
    byShard
        .getOrDefault(shard, Map.of())
        .forEach(
            (key, vote) -> {
              if (vote.expiresAtMillis > nowMillis) {
                known.add(vote.known(key, nowMillis));
              }
            });
    return known;
  }

  void removeExpired(long nowMillis) {
    size = 0;
    for (Map<String, Vote> votes : byShard.values()) {
      votes.values().removeIf(vote -> vote.expiresAtMillis <= nowMillis);
      size += votes.size();
    }
  }

  int size() {
    return size;
  }

  /**
   * A vote that binds until it expires.
   *
   * @param holder the VM voted for
   * @param incarnation the run of the holder's process
   * @param attempt the number of the holder's attempt, which a release must reach
   * @param contested whether votes for several holders are known
   * @param expiresAtMillis when the vote stops binding, on this VM's clock
   */
  record Vote(
      VmId holder, Incarnation incarnation, long attempt, boolean contested, long expiresAtMillis) {

    boolean isFor(VmId vm, Incarnation run) {
      return holder.equals(vm) && incarnation.equals(run);
    }

    private Vote merge(Vote other) {
      boolean hasOtherHolder = !isFor(other.holder, other.incarnation);
      return new Vote(
          holder,
          incarnation,
          Math.max(attempt, other.attempt),
          contested || other.contested || hasOtherHolder,
          Math.max(expiresAtMillis, other.expiresAtMillis));
    }

    private KnownVote known(String key, long nowMillis) {
      return new KnownVote(key, holder, incarnation, contested, expiresAtMillis - nowMillis);
    }
  }
}
