package org.ragworttide.coordination.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.AdmissionMessage.Ask;
import org.ragworttide.coordination.message.AdmissionMessage.Grant;
import org.ragworttide.coordination.message.AdmissionMessage.TurnedCold;
import org.ragworttide.coordination.message.AdmissionMessage.Warm;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.routing.UpstreamGate;
import org.ragworttide.coordination.time.TimerService;

/**
 * Holds requests back from upstreams that are cold or not known to be warm.
 *
 * <p>Invariant: at an upstream that has a cold limit and is not known to be warm, a request beyond
 * this daemon's share starts only under a permit of the upstream's owner. Confined to the
 * coordination thread.
 */
public final class ColdAdmission implements UpstreamGate {
  /** Asker id that an owner uses when it polls daemons for their running requests. */
  static final long POLL_ASKER = 0;

  private static final long REFRESH_MILLIS = 500;
  private static final long ASK_BUDGET_WINDOW_MILLIS = 1_000;

  private final TimerService time;
  private final AdmissionSettings settings;
  private final PermitOwner owner;
  private final FanOut fanOut;
  private final SlowAnswerDetector slowAnswerDetector;
  private final OwnerClient ownerClient;
  private final Map<UpstreamId, PermitPool> pools = new HashMap<>();

  /**
   * Creates the admission without any upstream.
   *
   * @param self this VM
   * @param time the timer service
   * @param owners the current owners of the upstreams
   * @param transport sends messages to peers
   * @param settings the settings of the fleet
   * @param seed a random number, different at each start of the process
   */
  public ColdAdmission(
      VmId self,
      TimerService time,
      OwnerView owners,
      Transport transport,
      AdmissionSettings settings,
      long seed) {
    this.time = time;
    this.settings = settings;
    SplittableRandom random = new SplittableRandom(seed);
    this.ownerClient =
        new OwnerClient(
            self,
            owners,
            transport,
            message -> receive(self, message),
            settings.asksPerSecond(),
            random.nextLong());
    this.fanOut = new FanOut(self, transport, this::onTurnedCold);
    this.owner = new PermitOwner(time, owners, this::sendFromOwner, fanOut, settings, random);
    this.slowAnswerDetector = new SlowAnswerDetector(settings.slowFactor());
    time.every(REFRESH_MILLIS, this::refresh);
    time.every(ASK_BUDGET_WINDOW_MILLIS, ownerClient::beginWindow);
  }

  /** Returns the name of the lease under which the owner issues the upstream's permits. */
  public static String resource(UpstreamId upstream) {
    return "cold/" + upstream;
  }

  /** Sets the upstreams, which all publish their load, and their cold limits. */
  public void setColdLimits(Map<UpstreamId, Integer> limits) {
    setColdLimits(limits, Map.of());
  }

  /**
   * Sets the upstreams and their cold limits.
   *
   * @param limits the cold limits, each over all daemons
   * @param unreported the upstreams among them that publish no load
   */
  public void setColdLimits(
      Map<UpstreamId, Integer> limits, Map<UpstreamId, UpstreamWithoutLoadReports> unreported) {
    owner.setColdLimits(limits, unreported);
    slowAnswerDetector.retainAll(unreported.keySet());
    pools.keySet().retainAll(limits.keySet());
    ownerClient.retainAll(limits.keySet());
    limits.keySet().forEach(id -> pools.computeIfAbsent(id, key -> new PermitPool()));
    unreported.forEach((id, upstream) -> pools.get(id).setUnreported(upstream));
  }

  /** Sets the daemons of the VM list, including those that are leaving. */
  public void setListedVms(List<VmId> vms) {
    owner.setListedVms(vms);
  }

  /** Sets the live daemons, including this one. */
  public void setMembers(List<VmId> vms) {
    fanOut.setMembers(vms);
  }

  /**
   * Records an accepted load report.
   *
   * @param upstream the upstream
   * @param incarnation the incarnation of its process
   * @param measuredAtMillis the earliest time at which the load can have been measured, since a new
   *     owner uses only loads measured after it became the owner
   * @param load the number of requests that were running or waiting
   */
  public void recordLoadReport(
      UpstreamId upstream, long incarnation, long measuredAtMillis, long load) {
    PermitPool pool = pools.get(upstream);
    if (pool != null) {
      pool.setIncarnation(incarnation);
      owner.report(upstream, incarnation, measuredAtMillis, load);
    }
  }

  @Override
  public boolean tryEnter(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    if (pool == null) {
      return true;
    }
    if (tryEnterLocally(upstream)) {
      if (pool.isWarmStatusEnding(time.nowMillis(), settings.warmMillis())) {
        requestPermits(upstream, pool, 0);
      }
      return true;
    }
    requestPermits(upstream, pool, 1);
    return false;
  }

  @Override
  public boolean tryEnterLocally(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    return pool == null || pool.tryStart(time.nowMillis());
  }

  @Override
  public boolean isAwaitingPermit(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    return pool != null && pool.isAwaitingPermit(time.nowMillis());
  }

  @Override
  public void leave(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    if (pool != null) {
      List<Long> returned = pool.endRequest();
      if (!returned.isEmpty()) {
        ownerClient.sendFeedback(upstream, pool, 0, 0, 0, returned);
      }
    }
  }

  /** Records the time to an answer's first token; called once per request before {@link #leave}. */
  public void recordAnswer(UpstreamId upstream, long firstTokenMillis) {
    PermitPool pool = pools.get(upstream);
    if (pool == null) {
      return;
    }
    boolean slow = slowAnswerDetector.isSlow(upstream, pool.isUnreported(), firstTokenMillis);
    if (slow) {
      ownerClient.sendFeedback(upstream, pool, 0, 0, 1, List.of());
    } else if (!pool.isWarm()) {
      ownerClient.sendFeedback(upstream, pool, 1, 0, 0, List.of());
    } else {
      ownerClient.reportWarm(upstream, pool);
    }
  }

  /** Records a request that the upstream failed; called once per request before {@link #leave}. */
  public void recordFailure(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    if (pool != null && pool.isUnreported()) {
      pool.recordFailure();
    }
    if (pool != null && !pool.isWarm()) {
      ownerClient.sendFeedback(upstream, pool, 0, 1, 0, List.of());
    }
  }

  /** Handles a message of a peer. */
  public void receive(VmId from, AdmissionMessage message) {
    switch (message) {
      case Grant grant -> onGrant(grant);
      case Ask ask when ask.asker() == POLL_ASKER -> onPollRequest(from, ask);
      case Warm warm when warm.asker() == ownerClient.asker() -> onWarm(warm);
      case TurnedCold turnedCold -> fanOut.receive(turnedCold);
      default -> owner.receive(from, message);
    }
  }

  /** Returns a read-only view of the state. */
  public AdmissionView view() {
    return new AdmissionView(pools, owner);
  }

  private void onPollRequest(VmId from, Ask pollRequest) {
    PermitPool pool = pools.getOrDefault(pollRequest.upstream(), new PermitPool());
    pool.expireWarmStatus(time.nowMillis());
    ownerClient.answerPoll(from, pollRequest, pool);
  }

  private void requestPermits(UpstreamId upstream, PermitPool pool, int permits) {
    ownerClient.requestPermits(
        upstream, pool, permits, time.nowMillis(), settings.askTimeoutMillis());
  }

  private void onGrant(Grant grant) {
    PermitPool pool = pools.get(grant.upstream());
    boolean ownGrant = grant.asker() == ownerClient.asker() && pool != null;
    if (ownGrant && pool.completeAsk(grant.number())) {
      if (pool.isUnreported()) {
        pool.setCold();
      }
      if (grant.permits() == 0) {
        pool.recordRefusal(time.nowMillis());
      }
      List<Long> olderPermits = pool.addGrant(grant, settings.clockRateTolerance());
      if (!olderPermits.isEmpty()) {
        ownerClient.sendFeedback(grant.upstream(), pool, 0, 0, 0, olderPermits);
      }
    }
  }

  private void onWarm(Warm warm) {
    PermitPool pool = pools.get(warm.upstream());
    if (pool == null || !pool.completeAsk(warm.number())) {
      return;
    }
    if (!pool.isUnreported()) {
      pool.setWarm(pool.incarnation() == warm.upstreamIncarnation());
    } else if (pool.hasUnacknowledgedFailure()) {
      ownerClient.sendFeedback(warm.upstream(), pool, 0, 1, 0, List.of());
    } else {
      pool.setWarmFor((long) (settings.warmMillis() * (1 - settings.clockRateTolerance())));
    }
  }

  private void onTurnedCold(TurnedCold turnedCold) {
    PermitPool pool = pools.get(turnedCold.upstream());
    if (pool != null && pool.incarnation() == turnedCold.upstreamIncarnation()) {
      pool.setCold();
      if (pool.isUnreported()) {
        pool.voidPendingAsk();
      }
    }
  }

  private void refresh() {
    owner.refresh();
    final long now = time.nowMillis();
    pools.forEach(
        (upstream, pool) -> {
          List<Long> expired = pool.removeExpired(now);
          if (!expired.isEmpty()) {
            ownerClient.sendFeedback(upstream, pool, 0, 0, 0, expired);
          }
          if (pool.isAskOverdue(now, settings.askTimeoutMillis())) {
            requestPermits(upstream, pool, 0);
          }
        });
  }

  private void sendFromOwner(VmId to, PeerMessage message) {
    if (message instanceof AdmissionMessage admission) {
      ownerClient.send(to, admission);
    }
  }
}
