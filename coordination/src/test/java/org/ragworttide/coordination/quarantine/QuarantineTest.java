package org.ragworttide.coordination.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.Membership;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.membership.VmState;
import org.ragworttide.coordination.message.QuarantineMessage;
import org.ragworttide.coordination.net.FakeNetwork;
import org.ragworttide.coordination.quarantine.QuarantineDecision.Permitted;
import org.ragworttide.coordination.quarantine.QuarantineDecision.Reason;
import org.ragworttide.coordination.quarantine.QuarantineDecision.Refused;
import org.ragworttide.coordination.quarantine.QuarantineDecision.Unsuspected;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.Test;

/** Tests that every VM refuses requests that crash upstreams. */
public class QuarantineTest {
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final Fingerprint BAD = new Fingerprint(1, 2);
  private static final Fingerprint GOOD = new Fingerprint(3, 4);

  @Test
  public void requestWithoutDeathsIsUnsuspected() {
    Fleet fleet = new Fleet(SEED);
    assertEquals(fleet.check(3, GOOD), new Unsuspected());
  }

  @Test
  public void onlyOneRunAtOnceIsPermittedAfterOneDeath() {
    forEachSeed(
        fleet -> {
          fleet.recordDeath(2, "engine-1", BAD);
          fleet.time.advance(10_000);
          int permitted = 0;
          for (int vm = 0; vm < Fleet.SIZE; vm++) {
            permitted += fleet.check(vm, BAD) instanceof Permitted ? 1 : 0;
          }
          assertEquals(permitted, 1, fleet.seed());
        });
  }

  @Test
  public void everyVmRefusesAfterTheSecondDeath() {
    forEachSeed(
        fleet -> {
          fleet.network.faults(0.05, 0.1, 50);
          fleet.recordDeath(2, "engine-1", BAD);
          fleet.recordDeath(4, "engine-2", BAD);
          fleet.time.advance(15_000);
          for (int vm = 0; vm < Fleet.SIZE; vm++) {
            Refused refused = (Refused) fleet.check(vm, BAD);
            assertEquals(refused.reason(), Reason.CRASHED_TWICE, fleet.seed());
            assertEquals(fleet.check(vm, GOOD), new Unsuspected(), fleet.seed());
          }
        });
  }

  @Test
  public void deathReportedByTwoVmsCountsOnce() {
    Fleet fleet = new Fleet(SEED);
    fleet.recordDeath(2, "engine-1", BAD);
    fleet.recordDeath(4, "engine-1", BAD);
    fleet.time.advance(10_000);
    assertEquals(fleet.at(0).deaths(BAD), 1);
  }

  @Test
  public void crashingRequestKillsAtMostTwoUpstreams() {
    forEachSeed(
        fleet -> {
          int deaths = 0;
          for (int attempt = 0; attempt < 30; attempt++) {
            int vm = fleet.random.nextInt(Fleet.SIZE);
            if (!(fleet.check(vm, BAD) instanceof Refused)) {
              fleet.recordDeath(vm, "engine-" + deaths++, BAD);
            }
            fleet.time.advance(200 + fleet.random.nextInt(2_000));
          }
          assertEquals(deaths, 2, fleet.seed());
        });
  }

  @Test
  public void harmlessRequestRunsRepeatedlyAsItsPermittedRunsEnd() {
    Fleet fleet = new Fleet(SEED);
    fleet.recordDeath(2, "engine-1", GOOD);
    fleet.time.advance(10_000);
    for (int run = 0; run < 5; run++) {
      Permitted permitted = (Permitted) fleet.check(run, GOOD);
      fleet.at(run).recordRunEnd(GOOD, permitted.runId());
      fleet.time.advance(10);
    }
  }

  @Test
  public void suspectedRequestIsRefusedWhenItsOwnerIsUnreachable() {
    Fleet fleet = new Fleet(SEED);
    fleet.recordDeath(2, "engine-1", BAD);
    fleet.time.advance(10_000);
    fleet.network.connect(fleet.vms.getFirst(), null);
    Refused refused = (Refused) fleet.check(5, BAD);
    assertEquals(refused.reason(), Reason.OWNER_UNREACHABLE);
  }

  @Test
  public void quarantineEndsAfterTheRetention() {
    Fleet fleet = new Fleet(SEED);
    fleet.recordDeath(2, "engine-1", BAD);
    fleet.recordDeath(2, "engine-2", BAD);
    fleet.time.advance(2L * DeathRecords.RETENTION_MILLIS);
    assertEquals(fleet.check(2, BAD), new Unsuspected());
    assertEquals(fleet.at(2).size(), 0);
  }

  @Test
  public void memoryIsBoundedUnderManyDeaths() {
    Fleet fleet = new Fleet(SEED);
    for (int i = 0; i < 2_000; i++) {
      fleet.recordDeath(2, "engine-" + i, new Fingerprint(i, i));
    }
    assertTrue(fleet.at(2).size() <= DeathRecords.MAX_DEATHS + 1, "size " + fleet.at(2).size());
  }

  private static void forEachSeed(Consumer<Fleet> scenario) {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      scenario.accept(new Fleet(seed));
    }
  }

  private static final class Fleet {
    private static final int SIZE = 12;

    private final ManualTimerService time = new ManualTimerService();
    private final List<VmId> vms = new ArrayList<>();
    private final Map<VmId, Quarantine> quarantines = new HashMap<>();
    private final SplittableRandom random;
    private final FakeNetwork network;
    private final long seed;

    private Fleet(long seed) {
      this.seed = seed;
      random = new SplittableRandom(seed);
      network = new FakeNetwork(time, seed);
      List<VmEntry> entries = new ArrayList<>();
      for (int i = 0; i < SIZE; i++) {
        vms.add(new VmId("vm-" + i));
        entries.add(new VmEntry(vms.getLast(), new ZoneId("z"), VmState.LIVE, "h:" + i));
      }
      vms.forEach(vm -> quarantines.put(vm, start(vm, new VmList(1, entries))));
    }

    private Quarantine start(VmId vm, VmList list) {
      Random choices = new Random(random.nextLong());
      ManualTimerService unused = new ManualTimerService();
      Membership view =
          new Membership(vm, new Incarnation(1), unused, (to, message) -> {}, choices);
      view.offer(list);
      return new Quarantine(
          vm,
          time,
          network.connect(
              vm, (from, m) -> quarantines.get(vm).receive(from, (QuarantineMessage) m)),
          view,
          fingerprint -> Optional.of(vms.getFirst()),
          choices);
    }

    private Quarantine at(int vm) {
      return quarantines.get(vms.get(vm));
    }

    private void recordDeath(int vm, String run, Fingerprint running) {
      at(vm).recordDeath(new UpstreamId("engine"), run, List.of(running));
    }

    private QuarantineDecision check(int vm, Fingerprint fingerprint) {
      List<QuarantineDecision> decisions = new ArrayList<>();
      at(vm).check(fingerprint, decisions::add);
      time.advance(Quarantine.DECISION_TIMEOUT_MILLIS);
      assertEquals(decisions.size(), 1, seed());
      return decisions.getFirst();
    }

    private String seed() {
      return "seed " + seed;
    }
  }
}
