package org.ragworttide.coordination.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.testng.annotations.Test;

/**
 * Tests that no limit is exceeded even if failures last longer than the confirmations of reserves.
 */
public class ReserveBoundTest {
  private static final OrganisationId STEADY = new OrganisationId("steady");
  private static final OrganisationId FAST = new OrganisationId("fast");
  private static final Map<OrganisationId, RateLimit> TABLE =
      Map.of(STEADY, new RateLimit(4, 60), FAST, new RateLimit(40, 30));
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final int VMS = 4;
  private static final int STEPS = 1_200;
  private static final int RUN_MILLIS = 500_000;
  private static final LimitSettings SETTINGS = new LimitSettings(VMS + 1, 0.1, 0.9, 60_000);

  @Test
  public void fleetWithoutFailuresStaysWithinTheLimit() {
    runEverySeed(run -> {});
  }

  @Test
  public void lostRepeatedAndReorderedConfirmationsCreateNoExtraTokens() {
    runEverySeed(run -> run.fleet.network.faults(0.3, 0.3, 3_000));
  }

  @Test
  public void partitionsLongerThanConfirmationsCreateNoExtraTokens() {
    runEverySeed(
        run ->
            run.toggleAtRandom(
                vm -> run.fleet.isolate(vm, true), vm -> run.fleet.isolate(vm, false)));
  }

  @Test
  public void pausesLongerThanConfirmationsCreateNoExtraTokens() {
    runEverySeed(run -> run.toggleAtRandom(vm -> run.fleet.clock(vm).pause(), run::resume));
  }

  @Test
  public void restartedLendersCreateNoExtraTokens() {
    runEverySeed(run -> run.toggleAtRandom(run.fleet::start, vm -> {}));
  }

  @Test
  public void allFailuresTogetherCreateNoExtraTokens() {
    runEverySeed(
        run -> {
          run.fleet.network.faults(0.1, 0.2, 2_000);
          run.toggleAtRandom(vm -> run.fleet.isolate(vm, true), vm -> run.fleet.isolate(vm, false));
          run.toggleAtRandom(vm -> run.fleet.clock(vm).pause(), run::resume);
          run.toggleAtRandom(run.fleet::start, vm -> {});
        });
  }

  private static void runEverySeed(Consumer<Run> failures) {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      Run run = new Run(seed);
      for (int step = 0; step < STEPS; step++) {
        failures.accept(run);
        run.step();
        assertEquals(run.fleet.checker.overshoot(), 0.0, "seed " + seed + " step " + step);
      }
      assertTrue(run.admitted > 0, "seed " + seed + " admitted nothing");
    }
  }

  private static final class Run {
    private final SplittableRandom random;
    private final LimitFleet fleet;
    private int surgePercent;
    private int admitted;
    private int nextRequest;

    private Run(long seed) {
      random = new SplittableRandom(seed);
      fleet = new LimitFleet(seed, VMS, SETTINGS);
      fleet.apply(TABLE);
      fleet.owners.setHintLag(random.nextInt(800));
      long from = 0;
      while (from < RUN_MILLIS) {
        boolean brief = random.nextInt(3) == 0;
        long to = from + 500 + random.nextInt(brief ? 5_000 : 150_000);
        fleet.setOwner(fleet.vms.get(random.nextInt(VMS)), from, to);
        from = to + (random.nextBoolean() ? 0 : random.nextInt(1_500));
      }
    }

    private void step() {
      fleet.time.advance(1 + random.nextInt(random.nextInt(10) == 0 ? 3_000 : 60));
      if (random.nextInt(40) == 0) {
        surgePercent = random.nextInt(3) * 50;
      }
      VmId loaded = fleet.vms.get(random.nextInt(VMS));
      request(loaded, random.nextInt(3));
      if (random.nextInt(100) < surgePercent) {
        fleet.vms.forEach(vm -> request(vm, random.nextInt(20)));
      }
    }

    private void request(VmId vm, int requests) {
      for (int i = 0; i < requests; i++) {
        OrganisationId organisation = random.nextBoolean() ? STEADY : FAST;
        fleet.request(vm, organisation, "r" + nextRequest++, this::countAdmission);
      }
    }

    private void resume(VmId vm) {
      fleet.clock(vm).resume(() -> request(vm, 60));
    }

    private void countAdmission(LimitDecision decision) {
      if (decision instanceof LimitDecision.Admitted) {
        admitted++;
      }
    }

    private void toggleAtRandom(Consumer<VmId> begin, Consumer<VmId> end) {
      VmId vm = fleet.vms.get(random.nextInt(VMS));
      if (random.nextInt(80) == 0) {
        begin.accept(vm);
      } else if (random.nextInt(100) == 0) {
        end.accept(vm);
      }
    }
  }
}
