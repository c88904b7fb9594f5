package org.ragworttide.coordination.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.AdmissionMessage.Ask;
import org.ragworttide.coordination.message.AdmissionMessage.Feedback;
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
  private static final long REFRESH_MILLIS = 500;
  private static final long ASK_WINDOW_MILLIS = 1_000;

  private final VmId self;
  private final TimerService time;
  private final OwnerView owners;
  private final Transport transport;
  private final AdmissionSettings settings;
  private final PermitOwner owner;
  private final FanOut fanOut;
  private final FirstTokenMonitor monitor;
  private final Map<UpstreamId, PermitPool> pools = new HashMap<>();
  private final Map<UpstreamId, VmId> vouchedTo = new HashMap<>();
  private final long asker;
  private long nextNumber = 1;
  private int asksLeft;

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
    this.self = self;
    this.time = time;
    this.owners = owners;
    this.transport = transport;
    this.settings = settings;
    SplittableRandom random = new SplittableRandom(seed);
    this.asker = random.nextLong();
    this.fanOut = new FanOut(self, transport, this::turnedCold);
    this.owner = new PermitOwner(time, owners, this::answer, fanOut, settings, random);
    this.monitor = new FirstTokenMonitor(settings.slowFactor());
    this.asksLeft = settings.asksPerSecond();
    time.every(REFRESH_MILLIS, this::refresh);
    time.every(ASK_WINDOW_MILLIS, () -> asksLeft = settings.asksPerSecond());
  }

  /** Returns the name of the lease under which the upstream's permits are given. */
  public static String resource(UpstreamId upstream) {
    return "cold/" + upstream;
  }

  /** Replaces the upstreams with their cold limits over all daemons. */
  public void coldLimits(Map<UpstreamId, Integer> limits) {
    owner.coldLimits(limits);
    pools.keySet().retainAll(limits.keySet());
    vouchedTo.keySet().retainAll(limits.keySet());
    limits.keySet().forEach(id -> pools.computeIfAbsent(id, key -> new PermitPool()));
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
        tell(upstream, pool, 0, 0, 0, returned);
      }
    }
  }

  /** Notes that an answer began after the given time; called once a request, before it leaves. */
  public void answered(UpstreamId upstream, long firstTokenMillis) {
    PermitPool pool = pools.get(upstream);
    if (pool == null) {
      return;
    }
    boolean slow = monitor.isSlow(firstTokenMillis);
    if (slow) {
      tell(upstream, pool, 0, 0, 1, List.of());
    } else if (!pool.isWarm()) {
      tell(upstream, pool, 1, 0, 0, List.of());
    } else {
      vouch(upstream, pool);
    }
  }

  /** Notes that the upstream failed a request; called once a request, before it leaves. */
  public void failed(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    if (pool != null && !pool.isWarm()) {
      tell(upstream, pool, 0, 1, 0, List.of());
    }
  }

  /** Takes a message of a peer. */
  public void receive(VmId from, AdmissionMessage message) {
    switch (message) {
      case Grant grant -> granted(grant);
      case Warm warm when warm.asker() == asker -> warmed(warm);
      case TurnedCold notice -> fanOut.receive(notice);
      default -> owner.receive(from, message);
    }
  }

  /** Returns what can be read without changing anything. */
  public AdmissionView view() {
    return new AdmissionView(pools, owner);
  }

  private void ask(UpstreamId upstream, PermitPool pool, int permits) {
    long now = time.nowMillis();
    Optional<VmId> to = owners.ownerOf(resource(upstream));
    boolean mayAsk = asksLeft > 0 && pool.mayAsk(now, settings.askTimeoutMillis());
    if (to.isEmpty() || !mayAsk) {
      return;
    }
    asksLeft--;
    long number = nextNumber++;
    long abandonedFrom = pool.asked(number, now);
    sendOrReceive(
        to.get(), new Ask(upstream, pool.incarnation(), asker, number, abandonedFrom, permits));
  }

  private void granted(Grant grant) {
    PermitPool pool = pools.get(grant.upstream());
    boolean mine = grant.asker() == asker && pool != null;
    if (mine && pool.closeQuestion(grant.number())) {
      if (grant.permits() == 0) {
        pool.refused(time.nowMillis());
      }
      List<Long> older = pool.grant(grant, settings.clockRateTolerance());
      if (!older.isEmpty()) {
        tell(grant.upstream(), pool, 0, 0, 0, older);
      }
    }
  }

  private void warmed(Warm warm) {
    PermitPool pool = pools.get(warm.upstream());
    if (pool != null && pool.closeQuestion(warm.number())) {
      pool.warm(pool.incarnation() == warm.upstreamIncarnation());
    }
  }

  private void turnedCold(TurnedCold notice) {
    PermitPool pool = pools.get(notice.upstream());
    if (pool != null && pool.incarnation() == notice.upstreamIncarnation()) {
      pool.warm(false);
    }
  }

  private void vouch(UpstreamId upstream, PermitPool pool) {
    Optional<VmId> to = owners.ownerOf(resource(upstream));
    if (to.isPresent() && !to.get().equals(vouchedTo.put(upstream, to.get()))) {
      Warm warm = new Warm(upstream, pool.incarnation(), 0, 0);
      sendOrReceive(to.get(), warm);
    }
  }

  private void tell(
      UpstreamId upstream, PermitPool pool, int ok, int failed, int slow, List<Long> returned) {
    Optional<VmId> to = owners.ownerOf(resource(upstream));
    long number = nextNumber++;
    to.ifPresent(
        vm ->
            sendOrReceive(
                vm,
                new Feedback(
                    upstream, pool.incarnation(), asker, number, ok, failed, slow, returned)));
  }

  private void refresh() {
    owner.refresh();
    final long now = time.nowMillis();
    pools.forEach(
        (upstream, pool) -> {
          List<Long> expired = pool.expire(now);
          if (!expired.isEmpty()) {
            tell(upstream, pool, 0, 0, 0, expired);
          }
          if (pool.isOverdue(now, settings.askTimeoutMillis())) {
            ask(upstream, pool, 0);
          }
        });
  }

  private void answer(VmId to, PeerMessage message) {
    if (message instanceof AdmissionMessage admission) {
      sendOrReceive(to, admission);
    }
  }

  private void sendOrReceive(VmId to, AdmissionMessage message) {
    if (to.equals(self)) {
      receive(self, message);
    } else {
      transport.send(to, message);
    }
  }
}
