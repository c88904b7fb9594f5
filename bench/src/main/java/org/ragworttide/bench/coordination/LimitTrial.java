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
 * Applies one load pattern to the rate limits of a fleet and to fixed equal shares.
 *
 * <p>Invariant: both receive the same requests at the same times. Not safe for use by several
 * threads.
 */
final class LimitTrial {
  private static final int WARM_UP_MILLIS = 15_000;
  private static final int CONFIRMATION_MILLIS = 60_000;
  private static final int LEASE_MILLIS = 3_000;
  private static final int OWNER_LIFETIME_MILLIS = 20_000;
  private static final int FIRST_LOSS_MILLIS = 5_000;
  private static final int PARTITION_PERIOD_MILLIS = 30_000;
  private static final int PARTITION_MILLIS = 10_000;
  private static final int BURST_PERIOD_MILLIS = 10_000;
  private static final int BURST_MILLIS = 2_000;
  private static final int SURGING_ORGANISATIONS = 3;
  private static final double SKEW_SHARE = 0.8;

  private final LoadPattern pattern;
  private final SplittableRandom random;
  private final LimitFleet fleet;
  private final FixedShares fixed;
  private final RateChecker ideal = new RateChecker();
  private final RateChecker fixedChecker = new RateChecker();
  private final Map<OrganisationId, Tally> tallies = new LinkedHashMap<>();
  private final Map<OrganisationId, RateLimit> limits = new LinkedHashMap<>();
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
    size.rates().forEach((id, rate) -> limits.put(id, new RateLimit(rate, Math.max(5, 2 * rate))));
    limits.forEach(
        (id, limit) -> {
          tallies.put(id, new Tally());
          ideal.setLimit(id, limit, 0);
          fixedChecker.setLimit(id, limit, 0);
        });
    fleet.apply(limits);
    fixed = new FixedShares(limits, settings.maxEntryVms());
    scheduleOwners();
  }

  /** Runs the trial and returns what it measured. */
  LimitResult run() {
    PriorityQueue<Arrival> arrivals = new PriorityQueue<>();
    limits.keySet().forEach(id -> arrivals.add(new Arrival(millisToNext(id, 0), id)));
    fleet.time.advance(warmUpMillis);
    for (int now = 0; now < durationMillis; now++) {
      updatePartition(now);
      while (arrivals.element().atMillis <= now) {
        Arrival arrival = arrivals.remove();
        sendRequest(arrival.id);
        arrivals.add(new Arrival(arrival.atMillis + millisToNext(arrival.id, now), arrival.id));
      }
      fleet.time.advance(1);
    }
    fleet.time.advance(1_000);
    return result();
  }

  /** Returns the warm-up time; if the settings use confirmations, it exceeds their lifetime. */
  static int warmUpMillis(LimitSettings settings) {
    boolean confirms = settings.confirmedShare() > settings.reserveShare();
    return confirms ? WARM_UP_MILLIS + CONFIRMATION_MILLIS : WARM_UP_MILLIS;
  }

  private void scheduleOwners() {
    int last = pattern == LoadPattern.PARTITIONED ? fleet.vms.size() - 2 : fleet.vms.size();
    long end = warmUpMillis + durationMillis + 10_000L;
    int shard = 0;
    long lifetimeMillis = pattern == LoadPattern.OWNER_LOSS ? OWNER_LIFETIME_MILLIS : 2 * end;
    for (OrganisationId id : limits.keySet()) {
      for (String resource : fleet.resources(id)) {
        int owner = shard++;
        long from = 0;
        long to = Math.max(lifetimeMillis, warmUpMillis + FIRST_LOSS_MILLIS);
        while (from < end) {
          fleet.owners.addOwnership(resource, fleet.vms.get(owner++ % last), from, to);
          from = to + LEASE_MILLIS;
          to = from + lifetimeMillis;
        }
      }
    }
  }

  private void updatePartition(int now) {
    if (pattern == LoadPattern.PARTITIONED && now % PARTITION_MILLIS == 0) {
      boolean partitioned = now % PARTITION_PERIOD_MILLIS < PARTITION_MILLIS;
      List<VmId> vms = fleet.vms;
      vms.subList(vms.size() - 2, vms.size()).forEach(vm -> fleet.isolate(vm, partitioned));
    }
  }

  /** Returns the milliseconds until the organisation's next request. */
  private double millisToNext(OrganisationId id, int now) {
    double rate = limits.get(id).ratePerSecond() * rateFactor(id, now);
    return -Math.log(1 - random.nextDouble()) * 1_000 / rate;
  }

  private double rateFactor(OrganisationId id, int now) {
    return switch (pattern) {
      case EVEN, SKEWED, PARTITIONED, OWNER_LOSS -> 0.8;
      case BURSTY -> now % BURST_PERIOD_MILLIS < BURST_MILLIS ? 4 : 0.1;
      case SURGE ->
          limits.keySet().stream().limit(SURGING_ORGANISATIONS).anyMatch(id::equals) ? 5 : 0.95;
    };
  }

  private void sendRequest(OrganisationId id) {
    Tally tally = tallies.get(id);
    int vm = selectVm(id);
    String request = "r" + nextRequest++;
    long now = fleet.time.nowMillis();
    if (ideal.isWithinLimit(id, now)) {
      ideal.recordAdmission(id, request, now);
      tally.idealAdmitted++;
    }
    fleet.request(fleet.vms.get(vm), id, request, tally::count);
    if (fixed.tryAdmit(id, vm, now)) {
      fixedChecker.recordAdmission(id, request, now);
      tally.fixedAdmitted++;
    }
  }

  private int selectVm(OrganisationId id) {
    boolean atHomeVm = pattern == LoadPattern.SKEWED && random.nextDouble() < SKEW_SHARE;
    int vms = fleet.vms.size();
    return atHomeVm ? Math.floorMod(id.hashCode(), vms) : random.nextInt(vms);
  }

  private LimitResult result() {
    long idealAdmitted = 0;
    long wrongful = 0;
    long fixedWrongful = 0;
    double worst = 1;
    double fixedWorst = 1;
    for (Tally tally : tallies.values()) {
      idealAdmitted += tally.idealAdmitted;
      wrongful += Math.max(0, tally.idealAdmitted - tally.admitted);
      fixedWrongful += Math.max(0, tally.idealAdmitted - tally.fixedAdmitted);
      worst = Math.min(worst, tally.servedShare(tally.admitted));
      fixedWorst = Math.min(fixedWorst, tally.servedShare(tally.fixedAdmitted));
    }
    return new LimitResult(
        fleet.checker.overshoot(),
        (double) wrongful / idealAdmitted,
        worst,
        fixedChecker.overshoot(),
        (double) fixedWrongful / idealAdmitted,
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
    private long idealAdmitted;
    private long admitted;
    private long fixedAdmitted;

    private void count(LimitDecision decision) {
      if (decision instanceof LimitDecision.Admitted) {
        admitted++;
      }
    }

    /** Returns the admitted count as a share, at most 1, of the requests within rate and burst. */
    private double servedShare(long count) {
      return idealAdmitted == 0 ? 1 : Math.min(1, (double) count / idealAdmitted);
    }
  }
}
