package org.ragworttide.coordination.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Permits for requests to brittle upstreams, which fail if they reject more than a few requests in
 * a second. One VM gives them out for each upstream.
 *
 * <p>Handles fleets in which no VM sees more than a few of an upstream's requests and rejections,
 * so that each would take the room that is left for its own. The first VM in the upstream's
 * rendezvous order counts the requests of all VMs instead. Requests that fit into the upstream's
 * slots are permitted. Beyond that, and where the room is not known, requests are probes: only as
 * many may be undecided at once as rejections are tolerated. A rejection lowers the room to the
 * requests that were accepted before; each probe that is accepted raises it, up to the slots.
 *
 * <p>Invariants: no permit for an upstream whose owner this VM is not; the rejections of the last
 * second and the undecided probes remain below the tolerance, or are one within the slots. Confined
 * to one thread.
 */
public final class BrittlePermits {
  /** Time in which a rejection is reported: several round trips between zones. */
  static final long DECIDED_MILLIS = 200;

  /** Time in which rejections count together, with the time in which they are reported. */
  static final long WINDOW_MILLIS = 1_000 + DECIDED_MILLIS;

  /**
   * Time for which upstreams have their usual room after they have stated that they are brittle.
   */
  static final long USUAL_ROOM_MILLIS = 2_500;

  /**
   * Time after a start in which a VM may hear late that upstreams are brittle: many intervals
   * between the statements that it receives.
   */
  static final long START_MILLIS = 3_000;

  /** Time after which a permit whose end was not reported counts no more. */
  static final long LEASE_MILLIS = 30_000;

  /** Rejections of a tolerance that are left to those that no VM reports. */
  private static final int UNREPORTED = 1;

  /**
   * Most probes, whatever is tolerated: rejections before a tolerance became smaller count against
   * the smaller one.
   */
  private static final int MAX_PROBES = 2;

  private final FleetMembers members;
  private final long createdAtMillis;
  private final Map<Integer, Ledger> ledgers = new HashMap<>();

  /**
   * Identifies a permit.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param vm the number of the VM that asked
   * @param number the number of its question
   */
  public record PermitId(long vm, long number) {}

  /**
   * What an upstream states.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param slots how many requests it processes concurrently
   * @param rejectionsPerSecond how many rejections in a second it tolerates
   * @param brittleSinceMillis since when it states that, as far as this VM knows
   */
  public record Terms(int slots, int rejectionsPerSecond, long brittleSinceMillis) {}

  /** A permit that has not ended. */
  private static final class Permit {
    private final long grantedAtMillis;
    private final int rank;
    private boolean undecidedProbe;

    private Permit(long grantedAtMillis, int rank, boolean probe) {
      this.grantedAtMillis = grantedAtMillis;
      this.rank = rank;
      this.undecidedProbe = probe;
    }
  }

  /** What is known of one incarnation of an upstream. */
  private static final class Ledger {
    private final LinkedHashMap<PermitId, Permit> permits = new LinkedHashMap<>();
    private final Deque<Long> rejections = new ArrayDeque<>();
    private int room;
    private int slots;
    private long usedAtMillis;

    private Ledger(int room) {
      this.room = room;
    }

    private void advance(long nowMillis) {
      usedAtMillis = nowMillis;
      while (!rejections.isEmpty() && nowMillis - rejections.getFirst() >= WINDOW_MILLIS) {
        rejections.removeFirst();
      }
      for (Iterator<Permit> all = permits.values().iterator(); all.hasNext(); ) {
        Permit permit = all.next();
        if (nowMillis - permit.grantedAtMillis >= DECIDED_MILLIS) {
          accept(permit);
        }
        if (nowMillis - permit.grantedAtMillis >= LEASE_MILLIS) {
          all.remove();
        }
      }
    }

    /** Doubles the room that an accepted probe has found, as in the slow start of TCP. */
    private void accept(Permit permit) {
      if (permit.undecidedProbe) {
        permit.undecidedProbe = false;
        if (rejections.isEmpty()) {
          room = Math.max(room, Math.min(slots, 2 * (permit.rank + 1)));
        } else {
          room = Math.max(room, Math.min(slots, permit.rank + 1));
        }
      }
    }

    private long undecidedProbes() {
      return permits.values().stream().filter(it -> it.undecidedProbe).count();
    }

    private void reject(Permit permit, long nowMillis) {
      rejections.addLast(nowMillis);
      room = Math.min(room, permit.rank);
    }
  }

  /**
   * Creates an owner that has given out no permit.
   *
   * @param members the VMs that share the upstreams
   * @param nowMillis the time
   */
  public BrittlePermits(FleetMembers members, long nowMillis) {
    this.members = members;
    this.createdAtMillis = nowMillis;
  }

  /**
   * Returns whether a request may be sent, and counts it if so.
   *
   * @param upstream the key of the upstream's incarnation
   * @param id the permit, which is to be ended
   * @param terms what the upstream states
   * @param nowMillis the time
   */
  public boolean tryGrant(int upstream, PermitId id, Terms terms, long nowMillis) {
    if (!members.isOwner(upstream, nowMillis)) {
      return false;
    }
    Ledger ledger = ledger(upstream, terms, nowMillis);
    int requests = ledger.permits.size();
    boolean probe = requests >= Math.min(ledger.room, terms.slots());
    int least = requests < terms.slots() ? 1 : 0;
    if (probe
        && ledger.rejections.size() + ledger.undecidedProbes()
            >= Math.max(least, probes(terms.rejectionsPerSecond()))) {
      return false;
    }
    ledger.permits.put(id, new Permit(nowMillis, requests, probe));
    return true;
  }

  /**
   * Records a request that was sent before its VM knew that the upstream is brittle, or with the
   * permit of a former owner.
   */
  public void recordRunning(int upstream, PermitId id, Terms terms, long nowMillis) {
    if (members.isOwner(upstream, nowMillis)) {
      Ledger ledger = ledger(upstream, terms, nowMillis);
      ledger.permits.putIfAbsent(id, new Permit(nowMillis, ledger.permits.size(), false));
    }
  }

  private Ledger ledger(int upstream, Terms terms, long nowMillis) {
    ledgers.values().removeIf(it -> nowMillis - it.usedAtMillis >= LEASE_MILLIS);
    Ledger ledger = ledgers.computeIfAbsent(upstream, key -> newLedger(terms, nowMillis));
    ledger.slots = terms.slots();
    ledger.advance(nowMillis);
    return ledger;
  }

  private Ledger newLedger(Terms terms, long nowMillis) {
    boolean hasUsualRoom =
        nowMillis - terms.brittleSinceMillis() < USUAL_ROOM_MILLIS
            && nowMillis - createdAtMillis >= START_MILLIS;
    Ledger ledger = new Ledger(hasUsualRoom ? terms.slots() : 0);
    ledger.usedAtMillis = nowMillis;
    return ledger;
  }

  /**
   * Records that a permitted request has ended or was not sent. Of several records of an end the
   * first counts.
   *
   * @param isRejected whether the upstream had no room for it
   */
  public void recordEnd(int upstream, PermitId id, boolean isRejected, long nowMillis) {
    Ledger ledger = ledgers.get(upstream);
    if (ledger == null) {
      return;
    }
    ledger.advance(nowMillis);
    Permit permit = ledger.permits.remove(id);
    if (permit == null) {
      return;
    }
    if (isRejected) {
      ledger.reject(permit, nowMillis);
    } else {
      ledger.accept(permit);
    }
  }

  /** Returns how many probes may be undecided or rejected in a second. */
  static int probes(int rejectionsPerSecond) {
    return Math.min(MAX_PROBES, rejectionsPerSecond - UNREPORTED);
  }
}
