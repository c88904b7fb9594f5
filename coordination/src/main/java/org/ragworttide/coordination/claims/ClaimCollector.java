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
 * Decides this VM's claims by the votes of their groups and the word of other claimants.
 *
 * <p>Invariants: a claim is granted on a quorum of votes of one list, all counted within the window
 * since their round began; votes are released only when they can no longer be counted. Used on the
 * coordination thread only.
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

  /** Tells whether the key is being decided. */
  boolean isPending(RequestKey key) {
    return pending.containsKey(key);
  }

  /** Tells whether votes are being collected for the key, so that it may be granted soon. */
  boolean isVoting(RequestKey key) {
    PendingClaim claim = pending.get(key);
    return claim != null && claim.phase() instanceof Phase.Voting;
  }

  /** Begins to decide a key, or waits for the decision that is under way. */
  void decide(RequestKey key, long followMillis, Consumer<ClaimDecision> decision) {
    long now = timers.nowMillis();
    long followUntil = now + followMillis;
    Arrival arrival = new Arrival(followUntil, decision);
    long deadline = followUntil + 2 * settings.voteWindowMillis() + settings.statusMillis();
    PendingClaim present = pending.get(key);
    if (present != null) {
      present.add(arrival, deadline);
      return;
    }
    PendingClaim claim = new PendingClaim(key, new Phase.Pausing(now));
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
    conclude(claim, round);
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
        conclude(claim, round);
      }
      case Phase.Asking asking -> {
        if (now - asking.heardMillis() >= settings.statusMillis()) {
          finish(claim, new ClaimDecision.MayHaveRun(Reason.CLAIMANT_LOST));
        } else {
          peers.ask(asking.holder(), asking.attempt(), claim.key());
        }
      }
      case Phase.Pausing(long notBefore) -> {
        if (now >= claim.deadlineMillis()) {
          finish(claim, new ClaimDecision.MayHaveRun(Reason.CONTESTED));
        } else if (now >= notBefore) {
          beginRound(claim);
        }
      }
    }
  }

  /** Begins anew what was being voted on under an older list. */
  void onAdopted() {
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
    if (isOver(round)) {
      return Optional.of(IgnoredMessages.Reason.STALE_ATTEMPT);
    }
    if (!round.count(from, answer)) {
      return Optional.of(IgnoredMessages.Reason.UNKNOWN_SENDER);
    }
    conclude(claim, round);
    return Optional.empty();
  }

  private boolean isOver(VoteRound round) {
    return timers.nowMillis() - round.startedAtMillis() >= settings.voteWindowMillis();
  }

  private void conclude(PendingClaim claim, VoteRound round) {
    int quorum = settings.size().quorum();
    boolean over = isOver(round);
    if (!over && round.count(Vote.GRANTED) >= quorum) {
      grant(claim, round);
    } else if (!over && round.count(Vote.GRANTED) + round.count(Vote.FULL) >= quorum) {
      finish(claim, new ClaimDecision.NotRun(Reason.FULL));
    } else if (over || round.isLost(quorum)) {
      round.holder().ifPresentOrElse(holder -> ask(claim, holder), () -> retry(claim, round, over));
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
    arrivals.getFirst().tell(new ClaimDecision.Granted());
    arrivals.stream()
        .skip(1)
        .forEach(arrival -> arrival.tell(new ClaimDecision.Running(peers.self())));
  }

  private void retry(PendingClaim claim, VoteRound round, boolean over) {
    if (!over) {
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

  private void ask(PendingClaim claim, Holder holder) {
    if (holder.vm().equals(peers.self()) || peers.groups().list().find(holder.vm()).isEmpty()) {
      finish(claim, new ClaimDecision.MayHaveRun(Reason.CLAIMANT_LOST));
      return;
    }
    peers.release(claim.key(), attempts.last());
    long attempt = attempts.next();
    claim.enter(new Phase.Asking(holder, attempt, timers.nowMillis()));
    peers.ask(holder, attempt, claim.key());
  }

  Optional<IgnoredMessages.Reason> onStatus(VmId from, StatusAnswer answer) {
    PendingClaim claim = pending.get(answer.key());
    if (claim == null
        || !(claim.phase() instanceof Phase.Asking asking)
        || asking.attempt() != answer.attempt()) {
      return Optional.of(IgnoredMessages.Reason.STALE_ATTEMPT);
    }
    if (!asking.holder().vm().equals(from)) {
      return Optional.of(IgnoredMessages.Reason.UNKNOWN_SENDER);
    }
    switch (answer.status()) {
      case RUNNING -> follow(claim, asking);
      case NOT_RUN -> pause(claim, from);
      default -> finish(claim, endOf(answer));
    }
    return Optional.empty();
  }

  private static ClaimDecision endOf(StatusAnswer answer) {
    return answer
        .answer()
        .<ClaimDecision>map(ClaimDecision.Completed::new)
        .orElse(new ClaimDecision.MayHaveRun(Reason.UPSTREAM_UNKNOWN));
  }

  /** Goes on asking the claimant that runs the request, for the arrivals that wait for its end. */
  private void follow(PendingClaim claim, Phase.Asking asking) {
    long now = timers.nowMillis();
    VmId claimant = asking.holder().vm();
    claim.enter(new Phase.Asking(asking.holder(), asking.attempt(), now));
    List<Arrival> done = claim.removeDone(now);
    if (claim.arrivals().isEmpty()) {
      pending.remove(claim.key());
    }
    done.forEach(arrival -> arrival.tell(new ClaimDecision.Running(claimant)));
  }

  /** Lets the releases arrive, and lets one of two claimants go first. */
  private void pause(PendingClaim claim, VmId other) {
    int ticks = peers.self().compareTo(other) < 0 ? 1 : 4;
    claim.enter(new Phase.Pausing(timers.nowMillis() + ticks * settings.tickMillis()));
  }

  /** Ends a claim that this VM will not run, and gives its votes back. */
  private void finish(PendingClaim claim, ClaimDecision decision) {
    pending.remove(claim.key());
    peers.release(claim.key(), attempts.last());
    claim.arrivals().forEach(arrival -> arrival.tell(decision));
  }
}
