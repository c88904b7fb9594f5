package org.ragworttide.coordination.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.ragworttide.coordination.claims.ClaimDecision.Reason;
import org.ragworttide.coordination.claims.PendingClaim.Arrival;
import org.ragworttide.coordination.claims.PendingClaim.Phase;
import org.ragworttide.coordination.group.AttemptNumbers;
import org.ragworttide.coordination.group.IgnoredMessages;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimMessage.Holder;
import org.ragworttide.coordination.message.ClaimMessage.StatusAnswer;
import org.ragworttide.coordination.message.ClaimMessage.Vote;
import org.ragworttide.coordination.message.ClaimMessage.VoteAnswer;
import org.ragworttide.coordination.time.TimerService;

/**
 * Decides this VM's claims from the votes of their groups and the status answers of other
 * claimants.
 *
 * <p>Invariants: a claim is granted on a quorum of votes under one list version, all counted within
 * the vote window of one round; votes are released only when they can no longer be counted. Used on
 * the coordination thread only.
 */
final class ClaimCollector {
  private final TimerService timers;
  private final ClaimSettings settings;
  private final AttemptNumbers attempts;
  private final ClaimPeers peers;
  private final ClaimTable table;
  private final Map<RequestKey, PendingClaim> pending = new HashMap<>();

  ClaimCollector(
      TimerService timers,
      ClaimSettings settings,
      AttemptNumbers attempts,
      ClaimPeers peers,
      ClaimTable table) {
    this.timers = timers;
    this.settings = settings;
    this.attempts = attempts;
    this.peers = peers;
    this.table = table;
  }

  boolean isFull() {
    return pending.size() >= settings.maxClaims();
  }

  /** Returns whether a decision on the key is pending. */
  boolean isPending(RequestKey key) {
    return pending.containsKey(key);
  }

  /** Returns whether votes are being collected for the key, so that it may be granted soon. */
  boolean isVoting(RequestKey key) {
    PendingClaim claim = pending.get(key);
    return claim != null && claim.phase() instanceof Phase.Voting;
  }

  /** Starts a decision on a key, or joins the pending one. */
  void decide(RequestKey key, long followMillis, Consumer<ClaimDecision> decision) {
    long now = timers.nowMillis();
    long followUntil = now + followMillis;
    Arrival arrival = new Arrival(followUntil, decision);
    long deadline = followUntil + 2 * settings.voteWindowMillis() + settings.statusMillis();
    PendingClaim existing = pending.get(key);
    if (existing != null) {
      existing.add(arrival, deadline);
      return;
    }
    PendingClaim claim = new PendingClaim(key, new Phase.BackingOff(now));
    claim.add(arrival, deadline);
    pending.put(key, claim);
    beginRound(claim);
  }

  private void beginRound(PendingClaim claim) {
    long now = timers.nowMillis();
    long version = peers.groups().list().version();
    VoteRound round = new VoteRound(version, attempts.next(), now, peers.group(claim.key()));
    claim.enter(new Phase.Voting(round));
    peers.requestVotes(round, claim.key());
    evaluate(claim, round);
  }

  void tick() {
    for (PendingClaim claim : new ArrayList<>(pending.values())) {
      tick(claim, timers.nowMillis());
    }
  }

  private void tick(PendingClaim claim, long now) {
    switch (claim.phase()) {
      case Phase.Voting(VoteRound round) -> {
        peers.requestVotes(round, claim.key());
        evaluate(claim, round);
      }
      case Phase.AwaitingStatus awaiting -> {
        if (now - awaiting.lastAnswerMillis() >= settings.statusMillis()) {
          finish(claim, new ClaimDecision.MayHaveRun(Reason.CLAIMANT_LOST));
        } else {
          peers.requestStatus(awaiting.holder(), awaiting.attempt(), claim.key());
        }
      }
      case Phase.BackingOff(long notBefore) -> {
        if (now >= claim.deadlineMillis()) {
          finish(claim, new ClaimDecision.MayHaveRun(Reason.CONTESTED));
        } else if (now >= notBefore) {
          beginRound(claim);
        }
      }
    }
  }

  /** Restarts the rounds of votes that began under an older list. */
  void onListAdopted() {
    for (PendingClaim claim : new ArrayList<>(pending.values())) {
      if (claim.phase() instanceof Phase.Voting) {
        beginRound(claim);
      }
    }
  }

  Optional<IgnoredMessages.Reason> onVote(VmId from, VoteAnswer answer) {
    PendingClaim claim = pending.get(answer.key());
    if (claim == null
        || !(claim.phase() instanceof Phase.Voting(VoteRound round))
        || round.attempt() != answer.attempt()) {
      return Optional.of(IgnoredMessages.Reason.STALE_ATTEMPT);
    }
    if (round.version() != answer.version()) {
      return Optional.of(IgnoredMessages.Reason.OTHER_VERSION);
    }
    if (isWindowClosed(round)) {
      return Optional.of(IgnoredMessages.Reason.STALE_ATTEMPT);
    }
    if (!round.count(from, answer)) {
      return Optional.of(IgnoredMessages.Reason.UNKNOWN_SENDER);
    }
    evaluate(claim, round);
    return Optional.empty();
  }

  private boolean isWindowClosed(VoteRound round) {
    return timers.nowMillis() - round.startedAtMillis() >= settings.voteWindowMillis();
  }

  private void evaluate(PendingClaim claim, VoteRound round) {
    int quorum = settings.size().quorum();
    boolean windowClosed = isWindowClosed(round);
    if (!windowClosed && round.count(Vote.GRANTED) >= quorum) {
      grant(claim, round);
    } else if (!windowClosed && round.count(Vote.GRANTED) + round.count(Vote.FULL) >= quorum) {
      finish(claim, new ClaimDecision.NotRun(Reason.FULL));
    } else if (windowClosed || round.isQuorumImpossible(quorum)) {
      round
          .holder()
          .ifPresentOrElse(
              holder -> requestStatus(claim, holder), () -> retry(claim, round, windowClosed));
    }
  }

  private void grant(PendingClaim claim, VoteRound round) {
    if (table.isFull()) {
      finish(claim, new ClaimDecision.NotRun(Reason.FULL));
      return;
    }
    pending.remove(claim.key());
    table.put(claim.key(), new LocalClaim.Running(), timers.nowMillis());
    List<Arrival> arrivals = claim.arrivals();
    arrivals.getFirst().deliver(new ClaimDecision.Granted());
    arrivals.stream()
        .skip(1)
        .forEach(arrival -> arrival.deliver(new ClaimDecision.Running(peers.self())));
  }

  private void retry(PendingClaim claim, VoteRound round, boolean windowClosed) {
    if (!windowClosed) {
      return;
    }
    if (timers.nowMillis() < claim.deadlineMillis() - settings.statusMillis()) {
      beginRound(claim);
    } else {
      finish(claim, new ClaimDecision.MayHaveRun(reasonOf(round)));
    }
  }

  private static Reason reasonOf(VoteRound round) {
    if (round.count(Vote.CONTESTED) > 0) {
      return Reason.CONTESTED;
    }
    return round.count(Vote.NOT_INFORMED) > 0 ? Reason.VOTERS_NOT_INFORMED : Reason.TOO_FEW_VOTES;
  }

  private void requestStatus(PendingClaim claim, Holder holder) {
    if (holder.vm().equals(peers.self()) || peers.groups().list().find(holder.vm()).isEmpty()) {
      finish(claim, new ClaimDecision.MayHaveRun(Reason.CLAIMANT_LOST));
      return;
    }
    peers.release(claim.key(), attempts.last());
    long attempt = attempts.next();
    claim.enter(new Phase.AwaitingStatus(holder, attempt, timers.nowMillis()));
    peers.requestStatus(holder, attempt, claim.key());
  }

  Optional<IgnoredMessages.Reason> onStatus(VmId from, StatusAnswer answer) {
    PendingClaim claim = pending.get(answer.key());
    if (claim == null
        || !(claim.phase() instanceof Phase.AwaitingStatus awaiting)
        || awaiting.attempt() != answer.attempt()) {
      return Optional.of(IgnoredMessages.Reason.STALE_ATTEMPT);
    }
    if (!awaiting.holder().vm().equals(from)) {
      return Optional.of(IgnoredMessages.Reason.UNKNOWN_SENDER);
    }
    switch (answer.status()) {
      case RUNNING -> keepFollowing(claim, awaiting);
      case NOT_RUN -> backOff(claim, from);
      default -> finish(claim, decisionOf(answer));
    }
    return Optional.empty();
  }

  private static ClaimDecision decisionOf(StatusAnswer answer) {
    return answer
        .answer()
        .<ClaimDecision>map(ClaimDecision.Completed::new)
        .orElse(new ClaimDecision.MayHaveRun(Reason.UPSTREAM_UNKNOWN));
  }

  /** Keeps requesting the status of the running request while arrivals wait for its end. */
  private void keepFollowing(PendingClaim claim, Phase.AwaitingStatus awaiting) {
    long now = timers.nowMillis();
    VmId claimant = awaiting.holder().vm();
    claim.enter(new Phase.AwaitingStatus(awaiting.holder(), awaiting.attempt(), now));
    List<Arrival> expired = claim.removeExpiredFollowers(now);
    if (claim.arrivals().isEmpty()) {
      pending.remove(claim.key());
    }
    expired.forEach(arrival -> arrival.deliver(new ClaimDecision.Running(claimant)));
  }

  /** Waits for the releases to arrive; a different wait on each side lets one claimant go first. */
  private void backOff(PendingClaim claim, VmId other) {
    int waitTicks = peers.self().compareTo(other) < 0 ? 1 : 4;
    claim.enter(new Phase.BackingOff(timers.nowMillis() + waitTicks * settings.tickMillis()));
  }

  /** Ends a claim that this VM will not run, and releases its votes. */
  private void finish(PendingClaim claim, ClaimDecision decision) {
    pending.remove(claim.key());
    peers.release(claim.key(), attempts.last());
    claim.arrivals().forEach(arrival -> arrival.deliver(decision));
  }
}
