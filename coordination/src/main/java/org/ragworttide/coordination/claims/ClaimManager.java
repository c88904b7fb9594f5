package org.ragworttide.coordination.claims;

import java.util.Optional;
import java.util.function.Consumer;
import org.ragworttide.coordination.claims.ClaimDecision.Reason;
import org.ragworttide.coordination.group.AttemptNumbers;
import org.ragworttide.coordination.group.IgnoredMessages;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.group.Voter;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.ClaimMessage.Release;
import org.ragworttide.coordination.message.ClaimMessage.Status;
import org.ragworttide.coordination.message.ClaimMessage.StatusAnswer;
import org.ragworttide.coordination.message.ClaimMessage.StatusRequest;
import org.ragworttide.coordination.message.ClaimMessage.VoteAnswer;
import org.ragworttide.coordination.message.ClaimMessage.VoteRequest;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.GroupMessage.Topic;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;

/**
 * Manager of claims: grants a request that must run at most once to one daemon and reports its
 * outcome to the other daemons.
 *
 * <p>Invariants: a key is granted at most once within its retention unless the grant is released,
 * even if messages are lost or delayed or VMs are paused or restarted; all state is kept in memory
 * only, and its size is bounded. Used on the coordination thread only.
 */
public final class ClaimManager implements ClaimCommands, ClaimQueries {
  private final TimerService timers;
  private final ClaimSettings settings;
  private final AttemptNumbers attempts;
  private final Voter voter;
  private final ClaimPeers peers;
  private final ClaimTable table;
  private final ClaimCollector collector;
  private final IgnoredMessages ignored = new IgnoredMessages();

  /** Creates a manager without claims and without a VM list. */
  public ClaimManager(
      VmId self,
      Incarnation incarnation,
      TimerService timers,
      Transport transport,
      ClaimSettings settings) {
    this.timers = timers;
    this.settings = settings;
    this.attempts = new AttemptNumbers(incarnation);
    this.voter = new Voter(self, attempts, timers, transport, settings.voterSettings(), ignored);
    this.peers = new ClaimPeers(self, incarnation, transport, voter);
    this.table = new ClaimTable(settings);
    this.collector = new ClaimCollector(timers, settings, attempts, peers, table);
    timers.every(settings.tickMillis(), collector::tick);
    timers.every(settings.voterSettings().learnPeriodMillis(), this::tick);
  }

  private void tick() {
    voter.tick();
    table.removeExpired(timers.nowMillis(), settings.voterSettings().keepMillis());
  }

  @Override
  public void claim(RequestKey key, long followMillis, Consumer<ClaimDecision> decision) {
    if (followMillis < 0) {
      throw new IllegalArgumentException("followMillis must not be negative");
    }
    Optional<ClaimDecision> known = table.find(key).flatMap(this::decisionOf);
    if (known.isPresent()) {
      decision.accept(known.get());
    } else if (voter.groups().isEmpty()) {
      decision.accept(new ClaimDecision.MayHaveRun(Reason.VOTERS_NOT_INFORMED));
    } else if (collector.isFull()) {
      decision.accept(new ClaimDecision.MayHaveRun(Reason.FULL));
    } else {
      collector.decide(key, followMillis, decision);
    }
  }

  private Optional<ClaimDecision> decisionOf(LocalClaim claim) {
    return switch (claim) {
      case LocalClaim.Running running -> Optional.of(new ClaimDecision.Running(peers.self()));
      case LocalClaim.Completed(ClaimAnswer answer) ->
          Optional.of(new ClaimDecision.Completed(answer));
      case LocalClaim.MayHaveRun(Reason reason) ->
          Optional.of(new ClaimDecision.MayHaveRun(reason));
      case LocalClaim.Released released -> Optional.empty();
    };
  }

  @Override
  public void recordCompleted(RequestKey key, ClaimAnswer answer) {
    if (isRunning(key)) {
      table.complete(key, answer, timers.nowMillis());
    }
  }

  @Override
  public void recordMayHaveRun(RequestKey key) {
    if (isRunning(key)) {
      table.put(key, new LocalClaim.MayHaveRun(Reason.UPSTREAM_UNKNOWN), timers.nowMillis());
    }
  }

  @Override
  public void releaseNotRun(RequestKey key) {
    if (isRunning(key)) {
      table.put(key, new LocalClaim.Released(), timers.nowMillis());
      peers.release(key, attempts.last());
    }
  }

  private boolean isRunning(RequestKey key) {
    return table.find(key).filter(LocalClaim.Running.class::isInstance).isPresent();
  }

  /** Sets whether all lists so far come from peers and none from the platform. */
  public void setListsFromPeersOnly(boolean peersOnly) {
    voter.setListsFromPeersOnly(peersOnly);
  }

  @Override
  public void adopt(VmList list) {
    if (voter.adopt(list)) {
      collector.onListAdopted();
    }
  }

  @Override
  public void onMessage(VmId from, ClaimMessage message) {
    if (voter.groups().isEmpty() || peers.groups().list().find(from).isEmpty()) {
      ignored.count(IgnoredMessages.Reason.UNKNOWN_SENDER);
      return;
    }
    switch (message) {
      case VoteRequest request -> peers.send(from, peers.castVote(from, request));
      case VoteAnswer answer -> collector.onVote(from, answer).ifPresent(ignored::count);
      case Release release -> peers.releaseVote(from, release);
      case StatusRequest request -> onStatusRequest(from, request);
      case StatusAnswer answer -> collector.onStatus(from, answer).ifPresent(ignored::count);
    }
  }

  private void onStatusRequest(VmId from, StatusRequest request) {
    RequestKey key = request.key();
    if (!peers.isOwnIncarnation(request.incarnation())) {
      ignored.count(IgnoredMessages.Reason.OTHER_INCARNATION);
      sendStatus(from, request, Status.MAY_HAVE_RUN, Optional.empty());
    } else if (!collector.isVoting(key)) {
      switch (table.find(key).orElse(new LocalClaim.Released())) {
        case LocalClaim.Running running ->
            sendStatus(from, request, Status.RUNNING, Optional.empty());
        case LocalClaim.Completed(ClaimAnswer keptAnswer) ->
            sendStatus(from, request, Status.COMPLETED, Optional.of(keptAnswer));
        case LocalClaim.MayHaveRun mayHaveRun ->
            sendStatus(from, request, Status.MAY_HAVE_RUN, Optional.empty());
        case LocalClaim.Released released -> {
          peers.release(key, attempts.last());
          sendStatus(from, request, Status.NOT_RUN, Optional.empty());
        }
      }
    }
  }

  private void sendStatus(
      VmId to, StatusRequest request, Status status, Optional<ClaimAnswer> answer) {
    peers.send(to, new StatusAnswer(request.attempt(), request.key(), status, answer));
  }

  @Override
  public void onGroupMessage(VmId from, GroupMessage message) {
    if (message.topic() == Topic.CLAIM) {
      voter.onMessage(from, message);
    }
  }

  @Override
  public boolean isKnown(RequestKey key) {
    return collector.isPending(key) || table.find(key).flatMap(this::decisionOf).isPresent();
  }

  @Override
  public int claimsKept() {
    return table.size();
  }

  @Override
  public long answerBytesKept() {
    return table.answerBytes();
  }

  @Override
  public int votesKept() {
    return voter.voteCount();
  }

  @Override
  public boolean isInformed(Shard shard) {
    return voter.isInformed(shard);
  }

  @Override
  public IgnoredMessages ignored() {
    return ignored;
  }
}
