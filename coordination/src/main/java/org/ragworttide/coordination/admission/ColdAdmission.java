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
 * <p>Invariant: at an upstream with a cold limit that is not known to be warm, a request starts
 * only under a permit of the upstream's owner. Confined to the coordination thread.
 */
public final class ColdAdmission implements UpstreamGate {
  /** Stands for the asker when an owner asks daemons what they run. */
  static final long CENSUS = 0;

  private static final long REFRESH_MILLIS = 500;
  private static final long ASK_WINDOW_MILLIS = 1_000;

  private final TimerService time;
  private final AdmissionSettings settings;
  private final PermitOwner owner;
  private final FanOut fanOut;
  private final SlowAnswers slowAnswers;
  private final OwnerLink link;
  private final Map<UpstreamId, PermitPool> pools = new HashMap<>();

  /**
   * Creates the part; it knows no upstream yet.
   *
   * @param self this VM
   * @param time the time
   * @param owners who owns which upstream
   * @param transport the way to peers
   * @param settings the settings of the fleet
   * @param seed a random number, another at each start of the process
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
    this.link =
        new OwnerLink(
            self,
            owners,
            transport,
            message -> receive(self, message),
            settings.asksPerSecond(),
            random.nextLong());
    this.fanOut = new FanOut(self, transport, this::turnedCold);
    this.owner = new PermitOwner(time, owners, this::answer, fanOut, settings, random);
    this.slowAnswers = new SlowAnswers(settings.slowFactor());
    time.every(REFRESH_MILLIS, this::refresh);
    time.every(ASK_WINDOW_MILLIS, link::beginWindow);
  }

  /** Returns the name of the lease under which the upstream's permits are given. */
  public static String resource(UpstreamId upstream) {
    return "cold/" + upstream;
  }

  /** Replaces the upstreams, which all publish their load, with their cold limits. */
  public void coldLimits(Map<UpstreamId, Integer> limits) {
    coldLimits(limits, Map.of());
  }

  /**
   * Replaces the upstreams.
   *
   * @param limits cold limits over all daemons
   * @param unreported those of them that publish no load
   */
  public void coldLimits(
      Map<UpstreamId, Integer> limits, Map<UpstreamId, UnreportedUpstream> unreported) {
    owner.coldLimits(limits, unreported);
    slowAnswers.retainAll(unreported.keySet());
    pools.keySet().retainAll(limits.keySet());
    link.retainAll(limits.keySet());
    limits.keySet().forEach(id -> pools.computeIfAbsent(id, key -> new PermitPool()));
    unreported.forEach((id, upstream) -> pools.get(id).unreported(upstream));
  }

  /** Replaces the daemons of the list, those that are leaving among them. */
  public void listed(List<VmId> vms) {
    owner.listed(vms);
  }

  /** Replaces the live daemons, this one among them. */
  public void members(List<VmId> vms) {
    fanOut.members(vms);
  }

  /**
   * Takes an accepted load report over.
   *
   * @param upstream the upstream
   * @param incarnation the run of its process
   * @param measuredAtMillis the earliest time at which the load can have been measured, since a new
   *     owner trusts only what was measured after it took over
   * @param load requests that ran or waited
   */
  public void report(UpstreamId upstream, long incarnation, long measuredAtMillis, long load) {
    PermitPool pool = pools.get(upstream);
    if (pool != null) {
      pool.incarnation(incarnation);
      owner.report(upstream, incarnation, measuredAtMillis, load);
    }
  }

  @Override
  public boolean tryEnter(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    if (pool == null) {
      return true;
    }
    if (tryEnterWithoutAsking(upstream)) {
      if (pool.isWarmthEnding(time.nowMillis(), settings.warmMillis())) {
        ask(upstream, pool, 0);
      }
      return true;
    }
    ask(upstream, pool, 1);
    return false;
  }

  @Override
  public boolean tryEnterWithoutAsking(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    return pool == null || pool.tryStart(time.nowMillis());
  }

  @Override
  public boolean isDeciding(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    return pool != null && pool.isDeciding(time.nowMillis());
  }

  @Override
  public void leave(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    if (pool != null) {
      List<Long> returned = pool.end();
      if (!returned.isEmpty()) {
        link.tell(upstream, pool, 0, 0, 0, returned);
      }
    }
  }

  /** Notes that an answer began after the given time; called once a request, before it leaves. */
  public void answered(UpstreamId upstream, long firstTokenMillis) {
    PermitPool pool = pools.get(upstream);
    if (pool == null) {
      return;
    }
    boolean slow = slowAnswers.isSlow(upstream, pool.isUnreported(), firstTokenMillis);
    if (slow) {
      link.tell(upstream, pool, 0, 0, 1, List.of());
    } else if (!pool.isWarm()) {
      link.tell(upstream, pool, 1, 0, 0, List.of());
    } else {
      link.vouch(upstream, pool);
    }
  }

  /** Notes that the upstream failed a request; called once a request, before it leaves. */
  public void failed(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    if (pool != null && pool.isUnreported()) {
      pool.failed();
    }
    if (pool != null && !pool.isWarm()) {
      link.tell(upstream, pool, 0, 1, 0, List.of());
    }
  }

  /** Takes a message of a peer. */
  public void receive(VmId from, AdmissionMessage message) {
    switch (message) {
      case Grant grant -> granted(grant);
      case Ask ask when ask.asker() == CENSUS -> count(from, ask);
      case Warm warm when warm.asker() == link.asker() -> warmed(warm);
      case TurnedCold notice -> fanOut.receive(notice);
      default -> owner.receive(from, message);
    }
  }

  /** Returns what can be read without changing anything. */
  public AdmissionView view() {
    return new AdmissionView(pools, owner);
  }

  private void count(VmId from, Ask question) {
    PermitPool pool = pools.getOrDefault(question.upstream(), new PermitPool());
    pool.expireWarmth(time.nowMillis());
    link.answerCensus(from, question, pool);
  }

  private void ask(UpstreamId upstream, PermitPool pool, int permits) {
    link.ask(upstream, pool, permits, time.nowMillis(), settings.askTimeoutMillis());
  }

  private void granted(Grant grant) {
    PermitPool pool = pools.get(grant.upstream());
    boolean mine = grant.asker() == link.asker() && pool != null;
    if (mine && pool.closeQuestion(grant.number())) {
      if (pool.isUnreported()) {
        pool.cold();
      }
      if (grant.permits() == 0) {
        pool.refused(time.nowMillis());
      }
      List<Long> older = pool.grant(grant, settings.clockRateTolerance());
      if (!older.isEmpty()) {
        link.tell(grant.upstream(), pool, 0, 0, 0, older);
      }
    }
  }

  private void warmed(Warm warm) {
    PermitPool pool = pools.get(warm.upstream());
    if (pool == null || !pool.closeQuestion(warm.number())) {
      return;
    }
    if (!pool.isUnreported()) {
      pool.warm(pool.incarnation() == warm.upstreamIncarnation());
    } else if (pool.isFailureUntold()) {
      link.tell(warm.upstream(), pool, 0, 1, 0, List.of());
    } else {
      pool.warmFor((long) (settings.warmMillis() * (1 - settings.clockRateTolerance())));
    }
  }

  private void turnedCold(TurnedCold notice) {
    PermitPool pool = pools.get(notice.upstream());
    if (pool != null && pool.incarnation() == notice.upstreamIncarnation()) {
      pool.cold();
      if (pool.isUnreported()) {
        pool.voidQuestion();
      }
    }
  }

  private void refresh() {
    owner.refresh();
    final long now = time.nowMillis();
    pools.forEach(
        (upstream, pool) -> {
          List<Long> expired = pool.expire(now);
          if (!expired.isEmpty()) {
            link.tell(upstream, pool, 0, 0, 0, expired);
          }
          if (pool.isOverdue(now, settings.askTimeoutMillis())) {
            ask(upstream, pool, 0);
          }
        });
  }

  private void answer(VmId to, PeerMessage message) {
    if (message instanceof AdmissionMessage admission) {
      link.send(to, admission);
    }
  }
}
