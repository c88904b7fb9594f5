package org.ragworttide.coordination.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.MembershipQueries;
import org.ragworttide.coordination.membership.RandomPeers;
import org.ragworttide.coordination.message.QuarantineMessage;
import org.ragworttide.coordination.message.QuarantineMessage.Died;
import org.ragworttide.coordination.message.QuarantineMessage.RunAnswer;
import org.ragworttide.coordination.message.QuarantineMessage.RunEnded;
import org.ragworttide.coordination.message.QuarantineMessage.RunReply;
import org.ragworttide.coordination.message.QuarantineMessage.RunRequest;
import org.ragworttide.coordination.message.QuarantineMessage.Summary;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;

/**
 * Fleet-wide quarantine of requests that crash their upstreams.
 *
 * <p>Invariants: a request that was running when an upstream died runs again only with the
 * permission of its owner, which is the VM that decides on it, one run at a time; after the second
 * death every VM that has a record of both refuses it. Called on the coordination thread only.
 */
public final class Quarantine implements QuarantineCommands, QuarantineQueries {
  static final int REFUSED_AFTER_DEATHS = 2;
  static final int DECISION_TIMEOUT_MILLIS = 300;
  static final int OWNER_RETRY_MILLIS = 1_000;
  static final int SUMMARY_PERIOD_MILLIS = 2_000;
  static final int FANOUT = 4;
  private static final int MAX_DEATHS_PER_SUMMARY = 16;
  private static final int EMPTY_PEER_AGE_MILLIS = DeathRecords.RETENTION_MILLIS / 2;

  private final VmId self;
  private final TimerService time;
  private final Transport transport;
  private final MembershipQueries membership;
  private final Function<Fingerprint, Optional<VmId>> owners;
  private final RandomGenerator random;
  private final DeathRecords records = new DeathRecords();
  private final RunOwner owner = new RunOwner(records);
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final Map<Long, VmId> deciderByRunId = new HashMap<>();
  private long nextRequestId;
  private boolean summarySent;

  /**
   * Creates the quarantine of one VM without records.
   *
   * @param self this VM
   * @param time the timer service
   * @param transport sends messages to peers
   * @param membership this VM's view of the fleet
   * @param owners returns the owner of a fingerprint, which is the VM that decides on its runs
   * @param random chooses peers and the first request id
   */
  public Quarantine(
      VmId self,
      TimerService time,
      Transport transport,
      MembershipQueries membership,
      Function<Fingerprint, Optional<VmId>> owners,
      RandomGenerator random) {
    this.self = self;
    this.time = time;
    this.transport = transport;
    this.membership = membership;
    this.owners = owners;
    this.random = random;
    this.nextRequestId = random.nextLong(1L << 32);
    time.every(SUMMARY_PERIOD_MILLIS, this::sendSummary);
  }

  @Override
  public void check(Fingerprint fingerprint, Consumer<QuarantineDecision> decision) {
    int deaths = records.count(fingerprint, time.nowMillis());
    if (deaths == 0) {
      decision.accept(new QuarantineDecision.Unsuspected());
    } else if (deaths >= REFUSED_AFTER_DEATHS) {
      long remaining = records.remainingMillis(fingerprint, time.nowMillis());
      decision.accept(refused(remaining, QuarantineDecision.Reason.CRASHED_TWICE));
    } else {
      requestPermission(fingerprint, decision);
    }
  }

  @Override
  public void recordDeath(
      UpstreamId upstream, String upstreamRun, Collection<Fingerprint> running) {
    long death = Rendezvous.hash(upstream.value() + '\n' + upstreamRun);
    addDeath(death, List.copyOf(running), 0);
  }

  @Override
  public void recordRunEnd(Fingerprint fingerprint, long runId) {
    VmId decider = deciderByRunId.remove(runId);
    if (decider != null) {
      RunEnded ended = new RunEnded(runId, fingerprint);
      if (decider.equals(self)) {
        receive(self, ended);
      } else {
        transport.send(decider, ended);
      }
    }
  }

  @Override
  public void receive(VmId from, QuarantineMessage message) {
    switch (message) {
      case Died died -> addDeath(died.death(), died.fingerprints(), died.ageMillis());
      case RunRequest request -> {
        RunReply reply = owner.decide(from, request, time.nowMillis());
        if (from.equals(self)) {
          receive(self, reply);
        } else {
          transport.send(from, reply);
        }
      }
      case RunReply reply -> onReply(from, reply);
      case RunEnded ended -> owner.endRun(from, ended.requestId(), ended.fingerprint());
      case Summary summary -> onSummary(from, summary);
    }
  }

  @Override
  public int deaths(Fingerprint fingerprint) {
    return records.count(fingerprint, time.nowMillis());
  }

  @Override
  public int size() {
    return records.size();
  }

  private void requestPermission(Fingerprint fingerprint, Consumer<QuarantineDecision> decision) {
    Optional<VmId> decider = owners.apply(fingerprint);
    if (decider.isEmpty()) {
      decision.accept(refused(OWNER_RETRY_MILLIS, QuarantineDecision.Reason.OWNER_UNREACHABLE));
      return;
    }
    long requestId = nextRequestId++;
    pendingRequests.put(requestId, new PendingRequest(decider.get(), fingerprint, decision));
    time.after(DECISION_TIMEOUT_MILLIS, () -> onTimeout(requestId));
    RunRequest request = new RunRequest(requestId, fingerprint);
    if (decider.get().equals(self)) {
      receive(self, request);
    } else {
      transport.send(decider.get(), request);
    }
  }

  private void onTimeout(long requestId) {
    PendingRequest pending = pendingRequests.remove(requestId);
    if (pending != null) {
      pending.decision.accept(
          refused(OWNER_RETRY_MILLIS, QuarantineDecision.Reason.OWNER_UNREACHABLE));
    }
  }

  private void onReply(VmId from, RunReply reply) {
    PendingRequest pending = pendingRequests.get(reply.requestId());
    if (pending == null || !pending.decider.equals(from)) {
      return;
    }
    pendingRequests.remove(reply.requestId());
    if (reply.answer() == RunAnswer.PERMITTED) {
      deciderByRunId.put(reply.requestId(), from);
      long runId = reply.requestId();
      time.after(RunOwner.MAX_RUN_MILLIS, () -> deciderByRunId.remove(runId));
      pending.decision.accept(new QuarantineDecision.Permitted(runId));
    } else {
      QuarantineDecision.Reason reason =
          reply.answer() == RunAnswer.BUSY
              ? QuarantineDecision.Reason.BEING_TRIED
              : QuarantineDecision.Reason.CRASHED_TWICE;
      pending.decision.accept(refused(reply.retryAfterMillis(), reason));
    }
  }

  private void addDeath(long death, List<Fingerprint> running, int ageMillis) {
    long now = time.nowMillis();
    List<Fingerprint> added = records.add(death, running, now - ageMillis, now);
    if (added.isEmpty()) {
      return;
    }
    Died message = new Died(death, added, ageMillis);
    for (Fingerprint fingerprint : added) {
      owners
          .apply(fingerprint)
          .filter(vm -> !vm.equals(self))
          .ifPresent(vm -> transport.send(vm, message));
    }
    for (int i = 0; i < FANOUT; i++) {
      randomPeer().ifPresent(peer -> transport.send(peer, message));
    }
  }

  private void sendSummary() {
    long hash = records.hash(time.nowMillis());
    if (hash != 0 || !summarySent) {
      summarySent = true;
      randomPeer().ifPresent(peer -> transport.send(peer, new Summary(hash)));
    }
  }

  /**
   * Sends recent deaths to a peer whose records differ, and also older ones to a peer that has no
   * recent deaths.
   */
  private void onSummary(VmId from, Summary summary) {
    long now = time.nowMillis();
    if (records.hash(now) == summary.hash() && summary.hash() != 0) {
      return;
    }
    long age = summary.hash() == 0 ? EMPTY_PEER_AGE_MILLIS : DeathRecords.SHARED_AGE_MILLIS;
    records
        .latest(MAX_DEATHS_PER_SUMMARY, age, now)
        .forEach(
            (id, death) -> {
              int deathAge = (int) Math.max(0, now - death.diedMillis());
              List<Fingerprint> copy = new ArrayList<>(death.fingerprints());
              transport.send(from, new Died(id, copy, deathAge));
            });
  }

  private Optional<VmId> randomPeer() {
    return RandomPeers.pick(membership.list(), self, random);
  }

  private static QuarantineDecision refused(
      long retryAfterMillis, QuarantineDecision.Reason reason) {
    return new QuarantineDecision.Refused(retryAfterMillis, reason);
  }

  private record PendingRequest(
      VmId decider, Fingerprint fingerprint, Consumer<QuarantineDecision> decision) {}
}
