package org.ragworttide.coordination.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.net.FakeNetwork;
import org.ragworttide.coordination.net.VmClock;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.Test;

/** Tests membership views under lagging lists, crashes, restarts and partitions. */
public class MembershipTest {
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final int SEEDS = Integer.getInteger("seeds", 40);

  @Test
  public void newerListReachesEveryVmInOrder() {
    everySeed(
        fleet -> {
          for (int version = 2; version <= 6; version++) {
            fleet.offer(0, list(version, 8));
            fleet.advance(20_000);
          }
          for (VmId vm : fleet.vms) {
            List<Long> versions = fleet.at(vm).recentLists().stream().map(VmList::version).toList();
            assertEquals(versions, List.of(3L, 4L, 5L, 6L), fleet.seed());
            assertEquals(fleet.at(vm).list().orElseThrow(), list(6, 8), fleet.seed());
          }
        });
  }

  @Test
  public void vmThatMissedManyListsReceivesTheWholeList() {
    everySeed(
        fleet -> {
          VmId late = fleet.vms.get(3);
          fleet.isolate(late, true);
          for (int version = 2; version <= 12; version++) {
            fleet.offer(0, list(version, 40));
            fleet.advance(8_000);
          }
          assertEquals(fleet.at(late).list().orElseThrow().version(), 1, fleet.seed());
          fleet.isolate(late, false);
          fleet.advance(60_000);
          assertEquals(fleet.at(late).list().orElseThrow(), list(12, 40), fleet.seed());
        });
  }

  @Test
  public void vmWithoutListRequestsOnePageAfterAnother() {
    ManualTimerService time = new ManualTimerService();
    VmList whole = list(7, 40);
    List<PeerMessage> answers = new ArrayList<>();
    Membership seed = membership("vm-1", time, (to, message) -> answers.add(message));
    seed.offer(whole);
    Membership late = membership("vm-2", time, (to, message) -> {});
    for (int page = 0; page < 3; page++) {
      seed.receive(new VmId("vm-2"), late.nextListRequest());
      late.receive(new VmId("vm-1"), (MembershipMessage) answers.getLast());
    }
    assertEquals(late.list().orElseThrow(), whole);
  }

  private static Membership membership(String vm, ManualTimerService time, Transport transport) {
    return new Membership(
        new VmId(vm), new Incarnation(1), time, transport, new SplittableRandom(SEED));
  }

  @Test
  public void peersFillGapInThePublishedLists() {
    everySeed(
        fleet -> {
          VmId late = fleet.vms.get(3);
          fleet.isolate(late, true);
          fleet.offer(0, list(2, 8));
          fleet.offer(0, list(3, 8));
          fleet.advance(10_000);
          fleet.isolate(late, false);
          fleet.offer(3, list(4, 8));
          fleet.advance(50);
          assertEquals(fleet.at(late).list().orElseThrow(), list(3, 8), fleet.seed());
          fleet.advance(20_000);
          assertEquals(fleet.at(late).list().orElseThrow(), list(4, 8), fleet.seed());
        });
  }

  @Test
  public void olderListIsIgnoredAndCounted() {
    Fleet fleet = new Fleet(SEED);
    fleet.offer(0, list(2, 8));
    fleet.offer(0, list(1, 8));
    Membership view = fleet.at(fleet.vms.getFirst());
    assertEquals(view.list().orElseThrow().version(), 2);
    assertEquals(view.counters().olderLists(), 1);
  }

  @Test
  public void otherListOfTheSameVersionIsIgnoredAndCounted() {
    Fleet fleet = new Fleet(SEED);
    fleet.offer(0, new VmList(1, List.of()));
    assertEquals(fleet.at(fleet.vms.getFirst()).counters().conflictingLists(), 1);
    assertEquals(fleet.at(fleet.vms.getFirst()).list().orElseThrow().vms().size(), 8);
  }

  @Test
  public void crashedVmIsSuspectedByAllUntilItReturnsUnderNewIncarnation() {
    everySeed(
        fleet -> {
          VmId dead = fleet.vms.get(5);
          fleet.advance(30_000);
          final Incarnation before =
              fleet.at(fleet.vms.getFirst()).incarnationOf(dead).orElseThrow();
          fleet.stop(dead);
          fleet.advance(90_000);
          for (VmId vm : fleet.others(dead)) {
            assertTrue(fleet.at(vm).isSuspected(dead), fleet.seed() + " " + vm);
          }
          fleet.start(dead);
          fleet.advance(60_000);
          for (VmId vm : fleet.others(dead)) {
            assertFalse(fleet.at(vm).isSuspected(dead), fleet.seed() + " " + vm);
            assertFalse(fleet.at(vm).incarnationOf(dead).orElseThrow().equals(before));
          }
        });
  }

  @Test
  public void liveVmIsNotSuspectedForLongUnderMessageLoss() {
    everySeed(
        fleet -> {
          fleet.network.faults(0.05, 0.05, 50);
          int suspected = 0;
          int samples = 0;
          for (int i = 0; i < 60; i++) {
            fleet.advance(1_000);
            for (VmId vm : fleet.vms) {
              samples += 7;
              Membership view = fleet.at(vm);
              suspected += (int) fleet.others(vm).stream().filter(view::isSuspected).count();
            }
          }
          assertTrue(suspected < samples / 20, fleet.seed() + " suspected " + suspected);
        });
  }

  @Test
  public void reportsOfOnePeerAloneDoNotMakeVmSuspected() {
    Fleet fleet = new Fleet(SEED);
    fleet.advance(30_000);
    VmId victim = fleet.vms.get(4);
    Membership view = fleet.at(fleet.vms.getFirst());
    MembershipMessage.Suspicion falseReport =
        new MembershipMessage.Suspicion(victim, view.incarnationOf(victim).orElseThrow());
    Incarnation reporterRun = view.incarnationOf(fleet.vms.get(1)).orElseThrow();
    for (int i = 0; i < 10; i++) {
      view.receive(
          fleet.vms.get(1), new MembershipMessage.Probe(reporterRun, i, 1, List.of(falseReport)));
    }
    assertFalse(view.isSuspected(victim));
  }

  @Test
  public void firstMessageOfNewIncarnationClearsTheSuspicion() {
    Fleet fleet = new Fleet(SEED);
    fleet.advance(30_000);
    VmId restarted = fleet.vms.get(5);
    Membership view = fleet.at(fleet.vms.getFirst());
    view.recordFailure(restarted);
    view.recordFailure(restarted);
    assertTrue(view.isSuspected(restarted));
    view.receive(restarted, new MembershipMessage.Probe(new Incarnation(77), 1, 1, List.of()));
    assertFalse(view.isSuspected(restarted));
  }

  @Test
  public void messageOfAnEarlierIncarnationIsIgnored() {
    Fleet fleet = new Fleet(SEED);
    fleet.advance(30_000);
    VmId restarted = fleet.vms.get(5);
    Membership view = fleet.at(fleet.vms.getFirst());
    final Incarnation before = view.incarnationOf(restarted).orElseThrow();
    fleet.start(restarted);
    fleet.advance(30_000);
    final Incarnation after = view.incarnationOf(restarted).orElseThrow();
    view.receive(restarted, new MembershipMessage.Probe(before, 1, 1, List.of()));
    assertEquals(view.incarnationOf(restarted).orElseThrow(), after);
    assertEquals(view.counters().staleIncarnations(), 1);
  }

  private static VmList list(int version, int size) {
    List<VmEntry> entries = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      VmState state = i == version % 8 && version > 1 ? VmState.LEAVING : VmState.LIVE;
      entries.add(new VmEntry(new VmId("vm-" + i), new ZoneId("z" + i % 3), state, "h:" + i));
    }
    return new VmList(version, entries);
  }

  private static void everySeed(Consumer<Fleet> scenario) {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      scenario.accept(new Fleet(seed));
    }
  }

  private static final class Fleet {
    private final ManualTimerService time = new ManualTimerService();
    private final List<VmId> vms = list(1, 8).vms().stream().map(VmEntry::id).toList();
    private final Map<VmId, Membership> views = new HashMap<>();
    private final Map<VmId, VmClock> clocks = new HashMap<>();
    private final SplittableRandom random;
    private final FakeNetwork network;
    private final long seed;

    private Fleet(long seed) {
      this.seed = seed;
      random = new SplittableRandom(seed);
      network = new FakeNetwork(time, seed);
      vms.forEach(this::start);
    }

    private void start(VmId vm) {
      stop(vm);
      VmClock clock = new VmClock(time, 0, random.nextLong(-999_999, 1_000));
      clocks.put(vm, clock);
      Incarnation run = new Incarnation(random.nextLong());
      views.put(
          vm,
          new Membership(
              vm,
              run,
              clock,
              network.connect(vm, clock.deferWhilePaused(this.receiver(vm))),
              new Random(random.nextLong())));
      views.get(vm).offer(list(1, 8));
    }

    private BiConsumer<VmId, PeerMessage> receiver(VmId vm) {
      return (from, message) -> views.get(vm).receive(from, (MembershipMessage) message);
    }

    private void stop(VmId vm) {
      if (clocks.containsKey(vm)) {
        clocks.get(vm).stop();
        network.connect(vm, null);
      }
    }

    private void offer(int vm, VmList list) {
      views.get(vms.get(vm)).offer(list);
    }

    private void advance(long millis) {
      time.advance(millis);
    }

    private Membership at(VmId vm) {
      return views.get(vm);
    }

    private List<VmId> others(VmId vm) {
      return vms.stream().filter(other -> !other.equals(vm)).toList();
    }

    private void isolate(VmId vm, boolean cut) {
      for (VmId other : others(vm)) {
        network.cut(vm, other, cut);
        network.cut(other, vm, cut);
      }
    }

    private String seed() {
      return "seed " + seed;
    }
  }
}
