package org.ragworttide.coordination.group;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ragworttide.coordination.group.IgnoredMessages.Reason;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.message.GroupMessage.AdoptedAnswer;
import org.ragworttide.coordination.message.GroupMessage.AdoptedRequest;
import org.ragworttide.coordination.message.GroupMessage.LearnAnswer;
import org.ragworttide.coordination.message.GroupMessage.LearnRequest;
import org.ragworttide.coordination.message.GroupMessage.ShardVotes;
import org.ragworttide.coordination.message.Transport;

/**
 * Collects the votes of informed peers for a voter that is new or has restarted.
 *
 * <p>Invariants: answers count only within the collection window, under one list version and one
 * attempt; a quorum of other members informs the voter. Used on the coordination thread only.
 */
final class Learner {
  private static final int MAX_SHARDS_PER_MESSAGE = 128;
  private static final int ROUNDS_BEFORE_WAITING = 2;
  private static final int FREQUENT_ROUNDS = 20;
  private static final int SLOW_ROUND_INTERVAL = 16;

  private final VmId self;
  private final Transport transport;
  private final VoterSettings settings;
  private final AttemptNumbers attempts;
  private final IgnoredMessages ignored;
  private final Map<Integer, Map<VmId, BitSet>> missingParts = new HashMap<>();
  private final Set<VmId> confirmed = new HashSet<>();
  private GroupSelection groups;
  private long attempt;
  private long attemptSinceMillis;
  private long attemptVersion;
  private int roundsUnderList;

  Learner(
      VmId self,
      Transport transport,
      VoterSettings settings,
      AttemptNumbers attempts,
      IgnoredMessages ignored) {
    this.self = self;
    this.transport = transport;
    this.settings = settings;
    this.attempts = attempts;
    this.ignored = ignored;
  }

  /**
   * Requests the votes of the shards that are not yet learned, less often after the first rounds.
   *
   * @param adopted the groups under the adopted list
   * @param shards the numbers of the shards
   * @param waiting whether all of them are already waiting for votes to expire
   */
  void requestVotes(GroupSelection adopted, List<Integer> shards, boolean waiting, long nowMillis) {
    groups = adopted;
    long version = groups.list().version();
    if (version == attemptVersion && isSkipped(++roundsUnderList)) {
      return;
    }
    if (version != attemptVersion || nowMillis - attemptSinceMillis >= settings.windowMillis()) {
      beginAttempt(version, nowMillis);
    }
    Map<VmId, List<Integer>> byPeer = new TreeMap<>();
    for (int shard : shards) {
      for (VmId peer : groups.group(new Shard(shard))) {
        if (!peer.equals(self) && !hasAnswered(shard, peer)) {
          byPeer.computeIfAbsent(peer, any -> new ArrayList<>()).add(shard);
        }
      }
    }
    byPeer.forEach(this::send);
    if (roundsUnderList > ROUNDS_BEFORE_WAITING && !waiting) {
      requestAdoptedVersions();
    }
  }

  private static boolean isSkipped(int rounds) {
    return rounds > FREQUENT_ROUNDS && rounds % SLOW_ROUND_INTERVAL != 0;
  }

  private void beginAttempt(long version, long nowMillis) {
    roundsUnderList = version == attemptVersion ? roundsUnderList : 0;
    attempt = attempts.next();
    attemptVersion = version;
    attemptSinceMillis = nowMillis;
    missingParts.clear();
    confirmed.clear();
  }

  private void send(VmId peer, List<Integer> shards) {
    for (int from = 0; from < shards.size(); from += MAX_SHARDS_PER_MESSAGE) {
      int to = Math.min(shards.size(), from + MAX_SHARDS_PER_MESSAGE);
      transport.send(
          peer,
          new LearnRequest(settings.topic(), attemptVersion, attempt, shards.subList(from, to)));
    }
  }

  private void requestAdoptedVersions() {
    for (VmEntry vm : groups.list().vms()) {
      if (!vm.id().equals(self) && !confirmed.contains(vm.id())) {
        transport.send(vm.id(), new AdoptedRequest(settings.topic(), attempt));
      }
    }
  }

  /** Returns whether an answer belongs to the open attempt. */
  boolean isCurrent(LearnAnswer answer, long nowMillis) {
    return isCurrent(answer.attempt(), nowMillis) && answer.version() == attemptVersion;
  }

  private boolean isCurrent(long number, long nowMillis) {
    return groups != null
        && number == attempt
        && groups.list().version() == attemptVersion
        && nowMillis - attemptSinceMillis < settings.windowMillis();
  }

  /** Records a part of a current answer and returns whether its votes are to be adopted. */
  boolean acceptVotes(VmId from, ShardVotes part) {
    if (from.equals(self) || !groups.group(new Shard(part.shard())).contains(from)) {
      ignored.count(Reason.UNKNOWN_SENDER);
      return false;
    }
    missingParts
        .computeIfAbsent(part.shard(), any -> new HashMap<>())
        .computeIfAbsent(from, any -> allParts(part.parts()))
        .clear(part.part());
    return true;
  }

  private static BitSet allParts(int parts) {
    BitSet all = new BitSet();
    all.set(0, parts);
    return all;
  }

  private boolean hasAnswered(int shard, VmId peer) {
    BitSet missing = missingParts.getOrDefault(shard, Map.of()).get(peer);
    return missing != null && missing.isEmpty();
  }

  /** Returns whether a quorum of other members has answered in full. */
  boolean hasLearned(int shard) {
    long complete =
        missingParts.getOrDefault(shard, Map.of()).values().stream()
            .filter(BitSet::isEmpty)
            .count();
    return complete >= settings.size().quorum();
  }

  /** Records the sender as confirmed if it has adopted the list of the attempt. */
  void acceptAdopted(VmId from, AdoptedAnswer answer, long nowMillis) {
    if (!isCurrent(answer.attempt(), nowMillis)) {
      ignored.count(Reason.STALE_ATTEMPT);
    } else if (groups.list().find(from).isEmpty()) {
      ignored.count(Reason.UNKNOWN_SENDER);
    } else if (answer.version() == attemptVersion) {
      confirmed.add(from);
    }
  }

  /**
   * Returns whether all listed VMs have adopted this version. A VM with a newer version shows that
   * this process may have read an older list than its VM had adopted before the restart.
   */
  boolean isAdoptedByAll(long nowMillis) {
    return roundsUnderList > ROUNDS_BEFORE_WAITING
        && isCurrent(attempt, nowMillis)
        && groups.list().vms().stream()
            .allMatch(vm -> vm.id().equals(self) || confirmed.contains(vm.id()));
  }
}
