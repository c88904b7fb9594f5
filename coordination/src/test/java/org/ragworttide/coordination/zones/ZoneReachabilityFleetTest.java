package org.ragworttide.coordination.zones;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.OutlierDetector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays fleets of VMs that lose the way to the upstreams of an availability zone. */
public class ZoneReachabilityFleetTest {
  private static final long TICK_MILLIS = 10;
  private static final long STATEMENT_MILLIS = 150;
  private static final int SMALL_FLEET_VMS = 16;
  private static final long CONNECT_TIMEOUT_MILLIS = 400;
  private static final long ROUND_TRIP_MILLIS = 3;
  private static final long LATE_MILLIS = 300;
  private static final int MAX_TRIES = 3;
  private static final int ZONES = 3;
  private static final int ENGINES = 63;
  private static final double REQUESTS_PER_SECOND = 270;
  private static final long LOST_FROM_MILLIS = 2_000;
  private static final long LOST_UNTIL_MILLIS = 7_000;
  private static final long END_MILLIS = 9_000;

  /** What VMs know of the ways between zones. */
  private enum Knowledge {
    /** Each upstream by itself. */
    UPSTREAMS,
    /** Zones by checks. */
    ZONES,
    /** Everything at once. */
    PERFECT
  }

  /** Trouble with the ways to the last zone. */
  private enum Trouble {
    NONE,
    CUT,
    POWER_LOSS,
    ONE_VM_CUT
  }

  /** A request that is to be placed, after its connection to the last engine has timed out. */
  private record Request(
      Vm vm, long atMillis, long receivedAtMillis, int tries, OptionalInt silentEngine) {}

  private record Answer(Vm vm, ZoneId zone, long atMillis) {}

  private static final class Vm {
    private final int number;
    private final ZoneReachability zones = new ZoneReachability();
    private final OutlierDetector detector = new OutlierDetector();

    private Vm(int number) {
      this.number = number;
    }
  }

  private static final class Fleet {
    private final SplittableRandom random;
    private final Knowledge knowledge;
    private final Trouble trouble;
    private final double lost;
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Request> requests =
        new PriorityQueue<>(Comparator.comparingLong(Request::atMillis));
    private final PriorityQueue<Answer> answers =
        new PriorityQueue<>(Comparator.comparingLong(Answer::atMillis));
    private long now;
    private int received;
    private int late;
    private int wronglyLost;

    private Fleet(int count, Knowledge knowledge, Trouble trouble, double lost, long seed) {
      this.knowledge = knowledge;
      this.trouble = trouble;
      this.lost = lost;
      random = new SplittableRandom(seed);
      for (int i = 0; i < count; i++) {
        vms.add(new Vm(i));
      }
    }

    private boolean isReachable(Vm vm, int zone) {
      if (now < LOST_FROM_MILLIS || now >= LOST_UNTIL_MILLIS) {
        return true;
      }
      return switch (trouble) {
        case NONE -> true;
        case CUT -> (vm.number % ZONES == ZONES - 1) == (zone == ZONES - 1);
        case POWER_LOSS -> zone != ZONES - 1;
        case ONE_VM_CUT -> vm.number != 0 || zone != ZONES - 1;
      };
    }

    private boolean isAlive(Vm vm) {
      return trouble != Trouble.POWER_LOSS
          || vm.number % ZONES != ZONES - 1
          || now < LOST_FROM_MILLIS
          || now >= LOST_UNTIL_MILLIS;
    }

    private boolean connects(Vm vm, int zone) {
      return isReachable(vm, zone) && random.nextDouble() >= lost;
    }

    private Fleet play() {
      for (now = 0; now < END_MILLIS; now += TICK_MILLIS) {
        double due = REQUESTS_PER_SECOND * TICK_MILLIS / 1_000 + random.nextDouble();
        for (; due >= 1; due--) {
          Vm vm = vms.get(random.nextInt(vms.size()));
          if (isAlive(vm)) {
            requests.add(new Request(vm, now, now, 0, OptionalInt.empty()));
          }
        }
        while (!answers.isEmpty() && answers.peek().atMillis() <= now) {
          Answer answer = answers.poll();
          answer.vm().zones.recordContact(answer.zone(), now);
        }
        while (!requests.isEmpty() && requests.peek().atMillis() <= now) {
          place(requests.poll());
        }
        if (knowledge == Knowledge.ZONES) {
          vms.forEach(this::check);
        }
      }
      return this;
    }

    private void place(Request request) {
      Vm vm = request.vm();
      request
          .silentEngine()
          .ifPresent(
              engine -> {
                vm.detector.recordUnreachable(id(engine), now);
                vm.zones.recordSuspicion(zone(engine % ZONES));
              });
      if (request.tries() == MAX_TRIES) {
        count(request, Long.MAX_VALUE);
        return;
      }
      int engine = choose(vm);
      if (connects(vm, engine % ZONES)) {
        vm.zones.recordContact(zone(engine % ZONES), now);
        count(request, now + ROUND_TRIP_MILLIS);
      } else {
        requests.add(
            new Request(
                vm,
                now + CONNECT_TIMEOUT_MILLIS,
                request.receivedAtMillis(),
                request.tries() + 1,
                OptionalInt.of(engine)));
      }
    }

    private void count(Request request, long connectedAtMillis) {
      if (request.receivedAtMillis() >= LOST_FROM_MILLIS
          && request.receivedAtMillis() < LOST_UNTIL_MILLIS) {
        received++;
        late += connectedAtMillis - request.receivedAtMillis() > LATE_MILLIS ? 1 : 0;
      }
    }

    private int choose(Vm vm) {
      Set<ZoneId> unreachable = vm.zones.unreachable();
      int[] candidates =
          random
              .ints(200, 0, ENGINES)
              .filter(it -> !vm.detector.isEjected(id(it), now))
              .filter(it -> knowledge != Knowledge.PERFECT || isReachable(vm, it % ZONES))
              .toArray();
      for (int engine : candidates) {
        if (!unreachable.contains(zone(engine % ZONES))) {
          return engine;
        }
      }
      return candidates.length > 0 ? candidates[0] : random.nextInt(ENGINES);
    }

    private void check(Vm vm) {
      for (ZoneReachability.Check check : vm.zones.startChecks(now)) {
        int zone = Integer.parseInt(check.zone().value());
        for (int i = 0; i < check.upstreams(); i++) {
          if (connects(vm, zone)) {
            answers.add(new Answer(vm, check.zone(), now + ROUND_TRIP_MILLIS));
          }
        }
      }
      for (ZoneId zone : vm.zones.endChecks(now)) {
        wronglyLost += isReachable(vm, Integer.parseInt(zone.value())) ? 1 : 0;
      }
      if ((now + vm.number * TICK_MILLIS) % STATEMENT_MILLIS == 0) {
        state(vm);
      }
    }

    private void state(Vm from) {
      for (ZoneId zone : from.zones.unreachable()) {
        for (int i = 0; i < (vms.size() <= SMALL_FLEET_VMS ? vms.size() : 2); i++) {
          Vm to = vms.get(vms.size() <= SMALL_FLEET_VMS ? i : random.nextInt(vms.size()));
          if (to.number % ZONES == from.number % ZONES && to != from) {
            to.zones.recordPeerVerdict(zone, now);
          }
        }
      }
    }

    private double lateShare() {
      return (double) late / received;
    }

    private static ZoneId zone(int number) {
      return new ZoneId(Integer.toString(number));
    }

    private static UpstreamId id(int engine) {
      return new UpstreamId("engine-" + engine);
    }
  }

  /** Numbers of VMs, troubles and seeds. */
  @DataProvider
  public Object[][] losses() {
    List<Object[]> cases = new ArrayList<>();
    for (int count : new int[] {7, 70, 95, 100, 345}) {
      for (Trouble trouble : List.of(Trouble.CUT, Trouble.POWER_LOSS)) {
        for (long seed = 1; seed <= 3; seed++) {
          cases.add(new Object[] {count, trouble, seed});
        }
      }
    }
    return cases.toArray(new Object[0][]);
  }

  /** Guards against requests that wait for upstream after upstream of a zone that is lost. */
  @Test(dataProvider = "losses")
  public void zoneIsAvoidedSoonAfterItsLoss(int count, Trouble trouble, long seed) {
    double former = new Fleet(count, Knowledge.UPSTREAMS, trouble, 0.01, seed).play().lateShare();
    Fleet fleet = new Fleet(count, Knowledge.ZONES, trouble, 0.01, seed).play();
    double perfect = new Fleet(count, Knowledge.PERFECT, trouble, 0.01, seed).play().lateShare();
    assertTrue(
        fleet.lateShare() <= (former + perfect) / 2,
        fleet.lateShare() + " late, before " + former + ", with perfect knowledge " + perfect);
  }

  @Test(dataProvider = "losses")
  public void zoneIsUsedAgainSoonAfterItsReturn(int count, Trouble trouble, long seed) {
    Fleet fleet = new Fleet(count, Knowledge.ZONES, trouble, 0.01, seed).play();
    for (Vm vm : fleet.vms) {
      assertEquals(vm.zones.unreachable(), Set.of());
    }
  }

  /** Guards against checks that take a link which loses packets for a lost zone. */
  @Test(dataProvider = "losses")
  public void linksThatLosePacketsLoseNoZone(int count, Trouble unused, long seed) {
    Fleet fleet = new Fleet(count, Knowledge.ZONES, Trouble.NONE, 0.03, seed).play();
    double former =
        new Fleet(count, Knowledge.UPSTREAMS, Trouble.NONE, 0.03, seed).play().lateShare();
    assertTrue(fleet.lateShare() <= former + 0.01, fleet.lateShare() + " late, before " + former);
    assertTrue(fleet.wronglyLost <= 1, fleet.wronglyLost + " zones taken for lost");
  }

  /** Guards against one VM with a bad way that empties a zone for all. */
  @Test(dataProvider = "losses")
  public void onlyTheVmThatIsCutOffAvoidsTheZone(int count, Trouble unused, long seed) {
    Fleet fleet = new Fleet(count, Knowledge.ZONES, Trouble.ONE_VM_CUT, 0, seed).play();
    assertEquals(fleet.wronglyLost, 0);
  }
}
