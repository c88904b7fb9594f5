package org.ragworttide.coordination.zones;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import org.ragworttide.coordination.id.ZoneId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays fleets of VMs that lose the way to the upstreams of an availability zone. */
public class ZoneReachabilityFleetTest {
  private static final long LATE_MILLIS = 300;
  private static final int MAX_TRIES = 3;
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
      ReachabilityFleet.Vm vm,
      long atMillis,
      long receivedAtMillis,
      int tries,
      OptionalInt silentEngine) {}

  private static final class Fleet extends ReachabilityFleet<ReachabilityFleet.Vm> {
    private final Knowledge knowledge;
    private final Trouble trouble;
    private final PriorityQueue<Request> requests =
        new PriorityQueue<>(Comparator.comparingLong(Request::atMillis));
    private int received;
    private int late;

    private Fleet(int count, Knowledge knowledge, Trouble trouble, double lost, long seed) {
      super(count, Vm::new, lost, seed);
      this.knowledge = knowledge;
      this.trouble = trouble;
    }

    @Override
    boolean isReachable(Vm vm, int zone) {
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

    private Fleet play() {
      play(REQUESTS_PER_SECOND, END_MILLIS);
      return this;
    }

    @Override
    void receive(Vm vm) {
      if (isAlive(vm)) {
        requests.add(new Request(vm, now, now, 0, OptionalInt.empty()));
      }
    }

    @Override
    void step() {
      while (!requests.isEmpty() && requests.peek().atMillis() <= now) {
        place(requests.poll());
      }
      if (knowledge == Knowledge.ZONES) {
        for (ReachabilityFleet.Vm vm : vms) {
          check(vm);
          state(vm);
        }
      }
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
              .ints(200, 0, UPSTREAMS)
              .filter(it -> !vm.detector.isEjected(id(it), now))
              .filter(it -> knowledge != Knowledge.PERFECT || isReachable(vm, it % ZONES))
              .toArray();
      for (int engine : candidates) {
        if (!unreachable.contains(zone(engine % ZONES))) {
          return engine;
        }
      }
      return candidates.length > 0 ? candidates[0] : random.nextInt(UPSTREAMS);
    }

    private double lateShare() {
      return (double) late / received;
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
    for (ReachabilityFleet.Vm vm : fleet.vms) {
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
