package org.ragworttide.coordination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.limits.LimitDecision;
import org.ragworttide.coordination.limits.RateChecker;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.membership.VmState;
import org.ragworttide.coordination.net.FakeNetwork;
import org.ragworttide.coordination.net.VmClock;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.coordination.versions.VersionHost;
import org.testng.annotations.Test;

/** Tests fleet-wide limits under failures, with the real leases choosing the owners. */
public class CoordinatedLimitTest {
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final OrganisationId HOTEL = new OrganisationId("hotel");
  private static final RateLimit LIMIT = new RateLimit(40, 60);
  private static final int STEPS = 1_500;
  private static final int VMS = 5;

  @Test
  public void limitIsNotExceededWhileOwnersPauseRestartAndAreCutOff() {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      Fleet fleet = new Fleet(seed);
      fleet.time.advance(20_000);
      for (int step = 0; step < STEPS; step++) {
        fleet.injectFailure();
        fleet.step();
        assertEquals(fleet.checker.overshoot(), 0.0, "seed " + seed + " step " + step);
      }
      assertTrue(fleet.admitted > 0, "seed " + seed + " admitted no request");
    }
  }

  @Test
  public void healthyFleetServesAtLeastNineTenthsOfTheRate() {
    for (long seed = SEED; seed < SEED + Math.max(1, SEEDS / 4); seed++) {
      Fleet fleet = new Fleet(seed);
      fleet.time.advance(30_000);
      for (int second = 0; second < 60_000; second += 100) {
        fleet.time.advance(100);
        fleet.vms.forEach(vm -> fleet.request(vm, 3));
      }
      assertTrue(fleet.admitted >= 0.9 * 60 * 40, "seed " + seed + " " + fleet.admitted);
    }
  }

  private static final class Fleet {
    private final ManualTimerService time = new ManualTimerService();
    private final RateChecker checker = new RateChecker();
    private final List<VmId> vms = new ArrayList<>();
    private final Map<VmId, Coordinator> coordinators = new HashMap<>();
    private final Map<VmId, VmClock> clocks = new HashMap<>();
    private final SplittableRandom random;
    private final FakeNetwork network;
    private final VmList list;
    private int surgePercent;
    private int nextRequest;
    private int admitted;

    private Fleet(long seed) {
      random = new SplittableRandom(seed);
      network = new FakeNetwork(time, seed).faults(0.02, 0.02, 20);
      List<VmEntry> entries = new ArrayList<>();
      for (int i = 0; i < VMS; i++) {
        vms.add(new VmId("vm-" + i));
        entries.add(new VmEntry(vms.get(i), new ZoneId("z" + i % 3), VmState.LIVE, "h:" + i));
      }
      list = new VmList(1, entries);
      checker.setLimit(HOTEL, LIMIT, 0);
      vms.forEach(this::start);
    }

    private void start(VmId vm) {
      if (clocks.containsKey(vm)) {
        clocks.get(vm).stop();
      }
      VmClock clock =
          new VmClock(time, random.nextLong(2_000) - 1_000, random.nextLong(-9_999, 9_999));
      clocks.put(vm, clock);
      Coordinator coordinator =
          new Coordinator(
              vm,
              new Incarnation(random.nextLong()),
              clock,
              network.connect(
                  vm,
                  clock.deferWhilePaused(
                      (from, message) -> coordinators.get(vm).receive(from, message))),
              new NoVersions(),
              RouterSettings.DEFAULTS);
      coordinators.put(vm, coordinator);
      coordinator.configure(new FleetConstants(VMS, 60_000, 1.5));
      coordinator.offer(list);
      coordinator.apply(new FleetPolicy(Map.of(HOTEL, LIMIT), Map.of(), List.of(), Map.of()));
    }

    private void injectFailure() {
      VmId vm = vms.get(random.nextInt(VMS));
      switch (random.nextInt(300)) {
        case 0, 1 -> clocks.get(vm).pause();
        case 2, 3 -> isolate(vm, true);
        case 4 -> start(vm);
        default -> {
          if (random.nextInt(20) == 0) {
            isolate(vm, false);
            clocks.get(vm).resume(() -> request(vm, 40));
          }
        }
      }
    }

    private void step() {
      time.advance(1 + random.nextInt(40));
      if (random.nextInt(40) == 0) {
        surgePercent = random.nextInt(3) * 50;
      }
      for (VmId vm : vms) {
        request(vm, random.nextInt(100) < surgePercent ? random.nextInt(10) : 0);
      }
    }

    private void request(VmId vm, int requests) {
      for (int i = 0; i < requests && clocks.get(vm).isRunning(); i++) {
        String id = "r" + nextRequest++;
        coordinators.get(vm).limitCommands().acquire(HOTEL, id, decision -> count(id, decision));
      }
    }

    private void count(String id, LimitDecision decision) {
      if (decision instanceof LimitDecision.Admitted) {
        admitted++;
        checker.recordAdmission(HOTEL, id, time.nowMillis());
      }
    }

    private void isolate(VmId vm, boolean cut) {
      for (VmId other : vms) {
        network.cut(vm, other, cut);
        network.cut(other, vm, cut);
      }
    }
  }

  private static final class NoVersions implements VersionHost {
    @Override
    public boolean accepts(long version, byte[] document) {
      return false;
    }

    @Override
    public void putInForce(long version, byte[] document) {}

    @Override
    public void readPlatform() {}
  }
}
