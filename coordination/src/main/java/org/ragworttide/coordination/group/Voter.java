package org.ragworttide.coordination.group;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.ragworttide.coordination.group.IgnoredMessages.Reason;
import org.ragworttide.coordination.group.VoteStore.Vote;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.GroupMessage.AdoptedAnswer;
import org.ragworttide.coordination.message.GroupMessage.LearnAnswer;
import org.ragworttide.coordination.message.GroupMessage.LearnRequest;
import org.ragworttide.coordination.message.GroupMessage.ShardVotes;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;

/**
 * Votes on one topic for the shards whose groups this VM is a member of.
 *
 * <p>Invariants: a voter votes only under the adopted list, only when informed, and for one holder
 * of a key at a time; after its process starts it neither votes nor learns for the quiet period.
 * Used on the coordination thread only.
 */
public final class Voter {
  private final VmId self;
  private final TimerService timers;
  private final Transport transport;
  private final VoterSettings settings;
  private final IgnoredMessages ignored;
  private final InformedShards informedShards;
  private final VoteStore votes;
  private final Learner learner;
  private final long startedAtMillis;
  private GroupSelection groups;
  private boolean listsFromPeersOnly;

  /** Creates a voter that is not informed for any shard. */
  public Voter(
      VmId self,
      AttemptNumbers attempts,
      TimerService timers,
      Transport transport,
      VoterSettings settings,
      IgnoredMessages ignored) {
    this.self = self;
    this.timers = timers;
    this.transport = transport;
    this.settings = settings;
    this.ignored = ignored;
    this.informedShards = new InformedShards(self);
    this.votes = new VoteStore(settings.maxVotes());
    this.learner = new Learner(self, transport, settings, attempts, ignored);
    this.startedAtMillis = timers.nowMillis();
  }

  /** Adopts a list if it is newer than the adopted one, and returns whether it was. */
  public boolean adopt(VmList list) {
    if (groups != null && list.version() <= groups.list().version()) {
      return false;
    }
    GroupSelection next = new GroupSelection(list, settings.size());
    if (groups != null) {
      informedShards.carryOver(groups, next);
    }
    groups = next;
    return true;
  }

  /**
   * Sets whether all lists so far come from peers, which may be behind. While this is set, the
   * voter neither concludes anything from all VMs having adopted the list nor confirms its list to
   * others; it is cleared once this VM has read the platform.
   */
  public void setListsFromPeersOnly(boolean peersOnly) {
    listsFromPeersOnly = peersOnly;
  }

  /** Returns the groups under the adopted list, if there is one. */
  public Optional<GroupSelection> groups() {
    return Optional.ofNullable(groups);
  }

  /** Returns whether this VM currently votes for the shard. */
  public boolean isInformed(Shard shard) {
    return groups != null && informedShards.isInformed(shard.number(), groups.list().version());
  }

  /** Answers a request for a vote. */
  public VoteResult vote(Ballot ballot) {
    if (!isInformed(ballot.shard()) || ballot.version() != groups.list().version()) {
      return new VoteResult.NotInformed();
    }
    long now = timers.nowMillis();
    int shard = ballot.shard().number();
    Optional<Vote> present = votes.find(shard, ballot.key(), now);
    if (present.isEmpty()) {
      return castNewVote(ballot, now);
    }
    Vote vote = present.get();
    if (vote.contested()) {
      return new VoteResult.Contested();
    }
    if (!vote.isFor(ballot.holder(), ballot.incarnation())) {
      return new VoteResult.Held(vote.holder(), vote.incarnation());
    }
    votes.put(shard, ballot.key(), newVote(ballot, now, vote.attempt()));
    return new VoteResult.Granted();
  }

  private VoteResult castNewVote(Ballot ballot, long now) {
    if (votes.isFull()) {
      votes.removeExpired(now);
    }
    if (votes.isFull()) {
      return new VoteResult.Full();
    }
    votes.put(ballot.shard().number(), ballot.key(), newVote(ballot, now, ballot.attempt()));
    return new VoteResult.Granted();
  }

  private Vote newVote(Ballot ballot, long now, long earlierAttempt) {
    return new Vote(
        ballot.holder(),
        ballot.incarnation(),
        Math.max(ballot.attempt(), earlierAttempt),
        false,
        now + settings.keepMillis());
  }

  /** Removes a vote that its holder will never count. */
  public void release(Shard shard, String key, VmId holder, Incarnation incarnation, long attempt) {
    votes.release(shard.number(), key, holder, incarnation, attempt);
  }

  /** Returns the holder of this VM's unexpired vote, if there is one and it is not contested. */
  public Optional<VmId> votedFor(Shard shard, String key) {
    return votes
        .find(shard.number(), key, timers.nowMillis())
        .filter(vote -> !vote.contested())
        .map(Vote::holder);
  }

  /** Returns the number of stored votes, including recently expired ones. */
  public int voteCount() {
    return votes.size();
  }

  /** Requests the votes of shards not yet learned; to be called once every learn period. */
  public void tick() {
    long now = timers.nowMillis();
    votes.removeExpired(now);
    if (groups == null || now - startedAtMillis < settings.quietMillis()) {
      return;
    }
    finishWaits(now);
    if (!listsFromPeersOnly && learner.isAdoptedByAll(now)) {
      missingShards()
          .forEach(shard -> informedShards.beginWait(shard, groups.list().version(), now));
    }
    List<Integer> missing = missingShards();
    if (!missing.isEmpty()) {
      long version = groups.list().version();
      boolean waiting =
          missing.stream().allMatch(shard -> informedShards.isWaiting(shard, version));
      learner.requestVotes(groups, missing, waiting, now);
    }
  }

  private void finishWaits(long now) {
    long version = groups.list().version();
    for (int shard : missingShards()) {
      if (informedShards.isWaitOver(shard, version, settings.keepMillis(), now)) {
        informedShards.markInformed(shard, version);
      }
    }
  }

  private List<Integer> missingShards() {
    return IntStream.range(0, Shard.COUNT)
        .filter(shard -> groups.group(new Shard(shard)).contains(self))
        .filter(shard -> !informedShards.isInformed(shard, groups.list().version()))
        .boxed()
        .toList();
  }

  /** Handles a message of the voter's own topic. */
  public void onMessage(VmId from, GroupMessage message) {
    if (message.topic() != settings.topic() || groups == null) {
      ignored.count(Reason.MALFORMED);
      return;
    }
    if (groups.list().find(from).isEmpty()) {
      ignored.count(Reason.UNKNOWN_SENDER);
      return;
    }
    switch (message) {
      case LearnRequest request -> onLearnRequest(from, request);
      case LearnAnswer answer -> onLearnAnswer(from, answer);
      case GroupMessage.AdoptedRequest request -> onAdoptedRequest(from, request);
      case AdoptedAnswer answer -> learner.acceptAdopted(from, answer, timers.nowMillis());
    }
  }

  private void onAdoptedRequest(VmId from, GroupMessage.AdoptedRequest request) {
    if (!listsFromPeersOnly) {
      long version = groups.list().version();
      transport.send(from, new AdoptedAnswer(settings.topic(), request.attempt(), version));
    }
  }

  private void onLearnRequest(VmId from, LearnRequest request) {
    if (request.version() != groups.list().version()) {
      ignored.count(Reason.OTHER_VERSION);
      return;
    }
    List<Integer> valid = request.shards().stream().filter(Shard::isNumber).toList();
    if (valid.size() < request.shards().size()) {
      ignored.count(Reason.MALFORMED);
    }
    long now = timers.nowMillis();
    List<ShardVotes> parts =
        valid.stream()
            .filter(shard -> isInformed(new Shard(shard)))
            .flatMap(shard -> VoteParts.split(shard, votes.known(shard, now)).stream())
            .toList();
    for (List<ShardVotes> message : VoteParts.batch(parts)) {
      transport.send(
          from, new LearnAnswer(settings.topic(), request.version(), request.attempt(), message));
    }
  }

  private void onLearnAnswer(VmId from, LearnAnswer answer) {
    long now = timers.nowMillis();
    if (!learner.isCurrent(answer, now)) {
      ignored.count(Reason.STALE_ATTEMPT);
      return;
    }
    for (ShardVotes part : answer.shards()) {
      if (Shard.isNumber(part.shard())) {
        learn(from, part, now);
      } else {
        ignored.count(Reason.MALFORMED);
      }
    }
  }

  private void learn(VmId from, ShardVotes part, long now) {
    int shard = part.shard();
    if (!isInformed(new Shard(shard)) && learner.acceptVotes(from, part)) {
      part.votes().forEach(vote -> votes.learn(shard, vote, now));
      if (learner.hasLearned(shard)) {
        informedShards.markInformed(shard, groups.list().version());
      }
    }
  }
}
