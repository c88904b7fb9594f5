package org.ragworttide.bench.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.limits.LimitDecision;
import org.ragworttide.coordination.limits.LimitFleet;
import org.ragworttide.coordination.limits.LimitSettings;
import org.ragworttide.coordination.limits.RateChecker;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.net.MessageTap;

/**
 * Sends one pattern of load through the limits of a fleet and through fixed equal shares.
 *
 * <p>Invariant: both see the same requests at the same times. Not safe for use by several threads.
 */
final class LimitTrial {
  private static final int WARM_UP_MILLIS = 15_000;
  private static final int CONFIRMATION_MILLIS = 60_000;
  private static final int LEASE_MILLIS = 3_000;
  private static final int OWNER_LIFE_MILLIS = 20_000;
  private static final int FIRST_LOSS_MILLIS = 5_000;
  private static final int CUT_PERIOD_MILLIS = 30_000;
  private static final int CUT_MILLIS = 10_000;
  private static final int BURST_PERIOD_MILLIS = 10_000;
  private static final int BURST_MILLIS = 2_000;
  private static final int SURGING = 3;
  private static final double SKEW = 0.8;

  private final LoadPattern pattern;
  private final SplittableRandom random;
  private final LimitFleet fleet;
  private final FixedShares fixed;
  private final RateChecker ideal = new RateChecker();
  private final RateChecker fixedChecker = new RateChecker();
  private final Map<OrganisationId, Tally> tallies = new LinkedHashMap<>();
  private final Map<OrganisationId, RateLimit> table = new LinkedHashMap<>();
  private final int warmUpMillis;
  private final int durationMillis;
  private int nextRequest;

  LimitTrial(
      TrialSize size, LoadPattern pattern, LimitSettings settings, long seed, MessageTap tap) {
    this.pattern = pattern;
    this.random = new SplittableRandom(seed);
    this.durationMillis = size.durationMillis();
    this.warmUpMillis = warmUpMillis(settings);
    this.fleet = new LimitFleet(seed, size.vms(), settings, tap);
    size.rates().forEach((id, rate) -> table.put(id, new RateLimit(rate, Math.max(5, 2 * rate))));
    table.forEach(
        (id, limit) -> {
          tallies.put(id, new Tally());
          ideal.setLimit(id, limit, 0);
          fixedChecker.setLimit(id, limit, 0);
        });
    fleet.apply(table);
    fixed = new FixedShares(table, settings.maxEntryVms());
    scriptOwners();
  }

  /** Runs the trial and returns what it measured. */
  LimitResult run() {
    PriorityQueue<Arrival> arrivals = new PriorityQueue<>();
    table.keySet().forEach(id -> arrivals.add(new Arrival(next(id, 0), id)));
    fleet.time.advance(warmUpMillis);
    for (int now = 0; now < durationMillis; now++) {
      fail(now);
      while (arrivals.element().atMillis <= now) {
        Arrival arrival = arrivals.remove();
        request(arrival.id);
        arrivals.add(new Arrival(arrival.atMillis + next(arrival.id, now), arrival.id));
      }
      fleet.time.advance(1);
    }
    fleet.time.advance(1_000);
    return result();
  }

  /** Returns how long a fleet runs before it is measured: longer than confirmations last. */
  static int warmUpMillis(LimitSettings settings) {
    boolean confirms = settings.confirmedShare() > settings.reserveShare();
    return confirms ? WARM_UP_MILLIS + CONFIRMATION_MILLIS : WARM_UP_MILLIS;
  }

  private void scriptOwners() {
    int last = pattern == LoadPattern.PARTITIONED ? fleet.vms.size() - 2 : fleet.vms.size();
    long end = warmUpMillis + durationMillis + 10_000L;
    int shard = 0;
    long life = pattern == LoadPattern.OWNER_LOSS ? OWNER_LIFE_MILLIS : 2 * end;
    for (OrganisationId id : table.keySet()) {
      for (String resource : fleet.resources(id)) {
        int owner = shard++;
        long from = 0;
        long to = Math.max(life, warmUpMillis + FIRST_LOSS_MILLIS);
        while (from < end) {
          fleet.owners.addOwnership(resource, fleet.vms.get(owner++ % last), from, to);
          from = to + LEASE_MILLIS;
          to = from + life;
        }
      }
    }
  }

  private void fail(int now) {
    if (pattern == LoadPattern.PARTITIONED && now % CUT_MILLIS == 0) {
      boolean cut = now % CUT_PERIOD_MILLIS < CUT_MILLIS;
      List<VmId> vms = fleet.vms;
      vms.subList(vms.size() - 2, vms.size()).forEach(vm -> fleet.isolate(vm, cut));
    }
  }

  /** Returns the milliseconds until the organisation's next request. */
  private double next(OrganisationId id, int now) {
    double rate = table.get(id).ratePerSecond() * factor(id, now);
    return -Math.log(1 - random.nextDouble()) * 1_000 / rate;
  }

  private double factor(OrganisationId id, int now) {
    return switch (pattern) {
      case EVEN, SKEWED, PARTITIONED, OWNER_LOSS -> 0.8;
      case BURSTY -> now % BURST_PERIOD_MILLIS < BURST_MILLIS ? 4 : 0.1;
      case SURGE -> table.keySet().stream().limit(SURGING).anyMatch(id::equals) ? 5 : 0.95;
    };
  }

  private void request(OrganisationId id) {
    Tally tally = tallies.get(id);
    int vm = vm(id);
    String request = "r" + nextRequest++;
    long now = fleet.time.nowMillis();
    if (ideal.isWithinLimit(id, now)) {
      ideal.recordAdmission(id, request, now);
      tally.inside++;
    }
    fleet.request(fleet.vms.get(vm), id, request, tally::count);
    if (fixed.admit(id, vm, now)) {
      fixedChecker.recordAdmission(id, request, now);
      tally.fixedAdmitted++;
    }
  }

  private int vm(OrganisationId id) {
    boolean home = pattern == LoadPattern.SKEWED && random.nextDouble() < SKEW;
    int vms = fleet.vms.size();
    return home ? Math.floorMod(id.hashCode(), vms) : random.nextInt(vms);
  }

  private LimitResult result() {
    long inside = 0;
    long wrongful = 0;
    long fixedWrongful = 0;
    double worst = 1;
    double fixedWorst = 1;
    for (Tally tally : tallies.values()) {
      inside += tally.inside;
      wrongful += Math.max(0, tally.inside - tally.admitted);
      fixedWrongful += Math.max(0, tally.inside - tally.fixedAdmitted);
      worst = Math.min(worst, tally.served(tally.admitted));
      fixedWorst = Math.min(fixedWorst, tally.served(tally.fixedAdmitted));
    }
    return new LimitResult(
        fleet.checker.overshoot(),
        (double) wrongful / inside,
        worst,
        fixedChecker.overshoot(),
        (double) fixedWrongful / inside,
        fixedWorst);
  }

  private record Arrival(double atMillis, OrganisationId id) implements Comparable<Arrival> {
    @Override
    public int compareTo(Arrival other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : id.compareTo(other.id);
    }
  }

  private static final class Tally {
    private long inside;
    private long admitted;
    private long fixedAdmitted;

    private void count(LimitDecision decision) {
      if (decision instanceof LimitDecision.Admitted) {
        admitted++;
      }
    }

    /** Returns the share of the requests inside rate and burst that were made up for. */
    private double served(long count) {
      return inside == 0 ? 1 : Math.min(1, (double) count / inside);
    }
  }
}
