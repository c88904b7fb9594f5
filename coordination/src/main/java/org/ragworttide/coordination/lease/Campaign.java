package org.ragworttide.coordination.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ragworttide.coordination.group.AttemptNumbers;
import org.ragworttide.coordination.group.GroupSelection;
import org.ragworttide.coordination.group.IgnoredMessages.Reason;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.group.Voter;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LeaseMessage.VoteAnswer;
import org.ragworttide.coordination.time.TimerService;

/**
 * Acquires, renews and releases the leases of this VM.
 *
 * <p>Invariants: a lease expires on this VM's clock one lease time after the start of its round;
 * once the votes for a shard are released, votes of earlier rounds no longer count for it. Used on
 * the coordination thread only.
 */
final class Campaign {
  private static final String NO_KEY = "";

  private static final int MAX_DOUBLINGS = 8;

  private final VmId self;
  private final TimerService timers;
  private final LeaseSettings settings;
  private final AttemptNumbers attempts;
  private final Voter voter;
  private final VoteClient votes;
  private final RightsExpiry rightsExpiry;
  private final Map<Long, VoteRound> rounds = new TreeMap<>();
  private final Map<Integer, Long> expiresAtMillis = new TreeMap<>();
  private final Map<Integer, Long> ownedSinceMillis = new HashMap<>();
  private final Map<Integer, RelinquishedLease> relinquished = new TreeMap<>();
  private final Map<Integer, Long> campaigningSinceMillis = new HashMap<>();
  private final Map<Integer, Long> campaignNotBeforeMillis = new HashMap<>();
  private final Map<Integer, Failures> failures = new HashMap<>();
  private boolean stopped;

  Campaign(
      VmId self,
      TimerService timers,
      LeaseSettings settings,
      AttemptNumbers attempts,
      Voter voter,
      VoteClient votes,
      RightsExpiry rightsExpiry) {
    this.self = self;
    this.timers = timers;
    this.settings = settings;
    this.attempts = attempts;
    this.voter = voter;
    this.votes = votes;
    this.rightsExpiry = rightsExpiry;
  }

  void tick() {
    long now = timers.nowMillis();
    rounds.values().removeIf(round -> now >= round.sentAtMillis() + settings.leaseMillis());
    expiresAtMillis.values().removeIf(expires -> now >= expires);
    releaseExpired(now);
    if (!stopped && voter.groups().isPresent()) {
      GroupSelection groups = voter.groups().get();
      abandonFailedCampaigns(groups, now);
      request(groups, dueShards(groups, now), now);
    }
  }

  private List<Integer> dueShards(GroupSelection groups, long now) {
    List<Integer> due = new ArrayList<>();
    for (int shard = 0; shard < Shard.COUNT; shard++) {
      int rank = groups.group(new Shard(shard)).indexOf(self);
      if (rank >= 0 && isDue(shard, rank, now)) {
        due.add(shard);
      }
    }
    return due;
  }

  private boolean isDue(int shard, int rank, long now) {
    Long expires = expiresAtMillis.get(shard);
    if (expires != null) {
      return expires - now <= settings.renewBeforeMillis();
    }
    if (relinquished.containsKey(shard)) {
      return false;
    }
    Optional<VmId> votedFor = voter.votedFor(new Shard(shard), NO_KEY);
    if (votedFor.isPresent() && !votedFor.get().equals(self)) {
      campaignNotBeforeMillis.remove(shard);
      return false;
    }
    long notBefore =
        campaignNotBeforeMillis.computeIfAbsent(
            shard, key -> now + campaignDelayMillis(shard, rank, now));
    if (now < notBefore || campaigningSinceMillis.containsKey(shard)) {
      return false;
    }
    campaigningSinceMillis.put(shard, now);
    return true;
  }

  private long backoffMillis(int rank) {
    return rank * settings.tickMillis();
  }

  /**
   * Returns how long a candidate waits before it campaigns. After failed campaigns the wait is long
   * enough for the renewal request of an owner to reach the voters that have not voted for anyone;
   * otherwise these voters would vote for losing candidates again and again and report them as
   * owners.
   */
  private long campaignDelayMillis(int shard, int rank, long now) {
    Failures failed = failures.get(shard);
    if (failed == null || now - failed.lastMillis >= 2 * settings.leaseMillis()) {
      return backoffMillis(rank);
    }
    long doubled = backoffMillis(1 + 2 * rank) << Math.min(failed.count - 1, MAX_DOUBLINGS);
    return Math.min(settings.leaseMillis(), doubled);
  }

  private void abandonFailedCampaigns(GroupSelection groups, long now) {
    List<Integer> failed =
        campaigningSinceMillis.entrySet().stream()
            .filter(entry -> now - entry.getValue() >= settings.campaignMillis())
            .map(Map.Entry::getKey)
            .toList();
    for (int shard : failed) {
      int rank = Math.max(0, groups.group(new Shard(shard)).indexOf(self));
      failures.merge(
          shard, new Failures(1, now), (old, one) -> old.withLaterFailure(now, settings));
      campaignNotBeforeMillis.put(shard, now + campaignDelayMillis(shard, rank, now));
    }
    releaseVotes(groups, failed);
  }

  private void request(GroupSelection groups, List<Integer> shards, long now) {
    if (shards.isEmpty()) {
      return;
    }
    VoteRound round = new VoteRound(groups.list().version(), now, shards);
    long attempt = attempts.next();
    rounds.put(attempt, round);
    votes.request(groups, attempt, shards).forEach(shard -> count(round, shard, self));
  }

  /** Counts the votes of an answer, or returns the reason for ignoring it. */
  Optional<Reason> onAnswer(VmId from, VoteAnswer answer) {
    VoteRound round = rounds.get(answer.attempt());
    if (round == null) {
      return Optional.of(Reason.STALE_ATTEMPT);
    }
    GroupSelection groups = voter.groups().orElseThrow();
    if (answer.version() != round.version() || groups.list().version() != round.version()) {
      return Optional.of(Reason.OTHER_VERSION);
    }
    for (int shard : answer.granted()) {
      if (!Shard.isNumber(shard)) {
        return Optional.of(Reason.MALFORMED);
      }
      if (!groups.group(new Shard(shard)).contains(from)) {
        return Optional.of(Reason.UNKNOWN_SENDER);
      }
      count(round, shard, from);
    }
    return Optional.empty();
  }

  private void count(VoteRound round, int shard, VmId from) {
    long expires = round.sentAtMillis() + settings.leaseMillis();
    if (round.count(shard, from) >= settings.size().quorum() && timers.nowMillis() < expires) {
      if (!isOwner(shard)) {
        ownedSinceMillis.put(shard, timers.nowMillis());
      }
      expiresAtMillis.merge(shard, expires, Math::max);
      campaigningSinceMillis.remove(shard);
      campaignNotBeforeMillis.remove(shard);
      failures.remove(shard);
    }
  }

  /** Relinquishes the shards whose groups this VM has left. */
  void onAdopted() {
    GroupSelection groups = voter.groups().orElseThrow();
    List<Shard> lost =
        owned().stream().filter(shard -> !groups.group(shard).contains(self)).toList();
    rounds.clear();
    campaigningSinceMillis.clear();
    lost.forEach(this::relinquish);
    releaseExpired(timers.nowMillis());
  }

  void stop() {
    stopped = true;
    List<Integer> campaigning = new ArrayList<>(campaigningSinceMillis.keySet());
    rounds.clear();
    voter.groups().ifPresent(groups -> releaseVotes(groups, campaigning));
    owned().forEach(this::relinquish);
    releaseExpired(timers.nowMillis());
  }

  /**
   * Ends the ownership of a shard; its votes are released after all rights derived from the lease
   * have expired.
   */
  private void relinquish(Shard shard) {
    long expires = expiresAtMillis(shard.number());
    long rightsExpireAt = Math.min(expires, rightsExpiry.rightsExpireAtMillis(shard));
    expiresAtMillis.remove(shard.number());
    ownedSinceMillis.remove(shard.number());
    relinquished.put(shard.number(), new RelinquishedLease(rightsExpireAt, expires));
  }

  private void releaseExpired(long now) {
    relinquished.values().removeIf(lease -> now >= lease.expiresAtMillis());
    List<Integer> releasable =
        relinquished.entrySet().stream()
            .filter(entry -> now >= entry.getValue().rightsExpireAtMillis())
            .map(Map.Entry::getKey)
            .toList();
    releasable.forEach(relinquished::remove);
    voter.groups().ifPresent(groups -> releaseVotes(groups, releasable));
  }

  private void releaseVotes(GroupSelection groups, List<Integer> shards) {
    if (shards.isEmpty()) {
      return;
    }
    for (int shard : shards) {
      rounds.values().forEach(round -> round.remove(shard));
      expiresAtMillis.remove(shard);
      ownedSinceMillis.remove(shard);
      campaigningSinceMillis.remove(shard);
    }
    votes.release(groups, attempts.last(), shards);
  }

  boolean isOwner(int shard) {
    Long expires = expiresAtMillis.get(shard);
    return expires != null && timers.nowMillis() < expires;
  }

  long expiresAtMillis(int shard) {
    long now = timers.nowMillis();
    return Math.max(now, expiresAtMillis.getOrDefault(shard, now));
  }

  long ownedSinceMillis(int shard) {
    return isOwner(shard) ? ownedSinceMillis.get(shard) : timers.nowMillis();
  }

  List<Shard> owned() {
    return expiresAtMillis.keySet().stream().filter(this::isOwner).map(Shard::new).toList();
  }

  /** Lease that this VM has relinquished; no round counts for it before its votes are released. */
  private record RelinquishedLease(long rightsExpireAtMillis, long expiresAtMillis) {}

  /** Number of campaigns that failed in short succession, and the time of the last one. */
  private record Failures(int count, long lastMillis) {

    Failures withLaterFailure(long now, LeaseSettings settings) {
      boolean isRecent = now - lastMillis < 2 * settings.leaseMillis();
      return new Failures(isRecent ? count + 1 : 1, now);
    }
  }
}
