package org.ragworttide.coordination;

import static org.ragworttide.coordination.CoordinatorFleet.LIMIT;
import static org.ragworttide.coordination.CoordinatorFleet.ORGANISATION;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.claims.ClaimDecision;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.limits.LimitDecision;
import org.ragworttide.coordination.limits.RateChecker;
import org.ragworttide.coordination.net.FailureInjector;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.net.Seeds;
import org.testng.annotations.Test;

/** Tests fleets of complete coordinators, for guarantees that span several components. */
public class CoordinatorTest {
  private static final long STEP_MILLIS = 2;
  private static final long START_MILLIS = 30_000;
  private static final long QUIET_PERIOD_MILLIS = 200;
  private static final long SURGE_PERIOD_MILLIS = 4;
  private static final String[] VMS = {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"};

  @Test
  public void rateHoldsWhileEveryVmIsStoppedAndReplacedInTurn() {
    Seeds.each(
        seed -> {
          Load load = new Load(CoordinatorFleet.create(seed, VMS));
          load.run(START_MILLIS / 2);
          List<String> vms = new ArrayList<>(List.of(VMS));
          for (String leaving : VMS) {
            load.fleet.stateMachine(new VmId(leaving)).stop();
            load.run(3_500);
            vms.remove(leaving);
            vms.add(leaving + "-new");
            load.fleet.publish(vms.toArray(String[]::new));
            load.fleet.adoptAll();
            load.run(1_000);
          }
          assertEquals(load.checker.overshoot(), 0.0);
          assertTrue(load.admitted > 0, "nothing was admitted");
        });
  }

  @Test
  public void surgeAfterTheOwnerHasStoppedDoesNotExceedTheRate() {
    Seeds.each(
        seed -> {
          Load load = new Load(CoordinatorFleet.create(seed, VMS));
          load.run(START_MILLIS / 2);
          for (int i = 0; i < 3; i++) {
            load.requestPeriodMillis = QUIET_PERIOD_MILLIS;
            load.run(4_000);
            VmId owner = load.owner();
            load.fleet.stateMachine(owner).stop();
            load.run(500 + load.fleet.random().nextInt(1_500));
            load.requestPeriodMillis = SURGE_PERIOD_MILLIS;
            load.run(400);
            load.fleet.restart(owner, 1);
          }
          assertEquals(load.checker.overshoot(), 0.0);
        });
  }

  @Test
  public void rateIsNotExceededUnderRandomFailures() {
    Seeds.each(
        seed -> {
          Load load = new Load(CoordinatorFleet.create(seed, VMS));
          load.fleet.network().faults(0.05, 0.05, 20);
          load.run(START_MILLIS / 2);
          FailureInjector chaos = new FailureInjector(load.fleet);
          for (int i = 0; i < 40; i++) {
            chaos.injectFailure();
            load.run(500);
          }
          assertEquals(load.checker.overshoot(), 0.0);
        });
  }

  @Test
  public void keyIsGrantedAtMostOnceUnderRandomFailures() {
    Seeds.each(
        seed -> {
          Fleet<Coordinator> fleet = CoordinatorFleet.create(seed, VMS);
          fleet.run(START_MILLIS, 100, any -> {});
          FailureInjector chaos = new FailureInjector(fleet);
          fleet.network().faults(0.05, 0.05, 50);
          Set<String> grantedKeys = new HashSet<>();
          for (int i = 0; i < 60; i++) {
            chaos.injectFailure();
            claimEverywhere(fleet, "key-" + i / 3, grantedKeys);
            fleet.run(300, 20, any -> {});
          }
          chaos.endFailures();
        });
  }

  @Test
  public void newFleetGrantsClaimsAfterTheRetention() {
    Fleet<Coordinator> fleet = CoordinatorFleet.create(1, VMS);
    List<ClaimDecision> decisions = new ArrayList<>();
    fleet.run(5_000, 100, any -> {});
    claim(fleet, "early", decisions);
    fleet.run(8_000, 100, any -> {});
    assertTrue(decisions.getFirst() instanceof ClaimDecision.MayHaveRun, decisions.toString());
    fleet.run(START_MILLIS, 100, any -> {});
    claim(fleet, "late", decisions);
    fleet.run(3_000, 100, any -> {});
    assertTrue(decisions.getLast() instanceof ClaimDecision.Granted, decisions.toString());
  }

  private static void claim(Fleet<Coordinator> fleet, String key, List<ClaimDecision> decisions) {
    fleet.stateMachine(new VmId("vm-1")).claimCommands().claim(new RequestKey(key), decisions::add);
  }

  private static void claimEverywhere(
      Fleet<Coordinator> fleet, String key, Set<String> grantedKeys) {
    for (VmId vm : fleet.vms()) {
      if (fleet.timers(vm).isPaused()) {
        continue;
      }
      fleet
          .stateMachine(vm)
          .claimCommands()
          .claim(
              new RequestKey(key),
              decision -> {
                if (decision instanceof ClaimDecision.Granted) {
                  assertTrue(grantedKeys.add(key), key + " was granted twice");
                }
              });
    }
  }

  /** Requests more than the rate on every VM and records the admitted requests. */
  private static final class Load {
    private final Fleet<Coordinator> fleet;
    private final RateChecker checker = new RateChecker();
    private long requestPeriodMillis = 30;
    private long nowMillis;
    private int admitted;
    private int requested;

    private Load(Fleet<Coordinator> fleet) {
      this.fleet = fleet;
      checker.setLimit(ORGANISATION, LIMIT, 0);
    }

    private VmId owner() {
      return fleet.vms().stream()
          .max(
              Comparator.comparingLong(
                  vm -> fleet.stateMachine(vm).limits().ownedTokens(ORGANISATION)))
          .orElseThrow();
    }

    private void run(long millis) {
      fleet.run(millis, STEP_MILLIS, any -> step());
    }

    private void step() {
      nowMillis += STEP_MILLIS;
      if (nowMillis % requestPeriodMillis == 0) {
        for (VmId vm : fleet.vms()) {
          if (!fleet.timers(vm).isPaused()) {
            request(vm, "request-" + requested++);
          }
        }
      }
    }

    private void request(VmId vm, String request) {
      fleet
          .stateMachine(vm)
          .limitCommands()
          .acquire(
              ORGANISATION,
              request,
              decision -> {
                if (decision instanceof LimitDecision.Admitted) {
                  admitted++;
                  checker.recordAdmission(ORGANISATION, request, nowMillis + STEP_MILLIS);
                }
              });
    }
  }
}
