package org.ragworttide.coordination.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.testng.annotations.Test;

/** Tests that no limit is exceeded after any step of runs with random load and failures. */
public class LimitBoundTest {
  private static final OrganisationId LARGE = new OrganisationId("large");
  private static final OrganisationId SMALL = new OrganisationId("small");
  private static final Map<OrganisationId, RateLimit> TABLE =
      Map.of(LARGE, new RateLimit(40, 60), SMALL, new RateLimit(3, 6));
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final int VMS = 5;
  private static final int STEPS = 1_500;
  private static final int RUN_MILLIS = 60_000;

  @Test
  public void fleetWithoutFailuresStaysWithinTheLimit() {
    runEverySeed((run, step) -> {});
  }

  @Test
  public void lostRepeatedAndReorderedMessagesCreateNoExtraTokens() {
    runEverySeed((run, step) -> run.fleet.network.faults(0.2, 0.3, 600));
  }

  @Test
  public void partitionsCreateNoExtraTokens() {
    runEverySeed(
        (run, step) ->
            run.toggleAtRandom(
                step, vm -> run.fleet.isolate(vm, true), vm -> run.fleet.isolate(vm, false)));
  }

  @Test
  public void pausedProcessesCreateNoExtraTokens() {
    runEverySeed(
        (run, step) -> run.toggleAtRandom(step, vm -> run.fleet.clock(vm).pause(), run::resume));
  }

  @Test
  public void restartedProcessesCreateNoExtraTokens() {
    runEverySeed((run, step) -> run.toggleAtRandom(step, run.fleet::start, vm -> {}));
  }

  @Test
  public void forwardJumpsOfHolderClocksCreateNoExtraTokens() {
    runEverySeed(
        (run, step) -> {
          if (step % 50 == 0) {
            run.fleet.clock(run.fleet.vms.getLast()).jump(700);
          }
        },
        VMS - 1,
        new LimitSettings(VMS, 0, 60_000));
  }

  @Test
  public void allFailuresTogetherCreateNoExtraTokens() {
    runEverySeed(LimitBoundTest::allFailures);
  }

  @Test
  public void allFailuresTogetherCreateNoExtraTokensOverSplitLimits() {
    LimitSettings split = LimitSettings.of(5 * VMS);
    assertTrue(LimitShares.of(TABLE.get(LARGE), split).parts() > 1);
    runEverySeed(LimitBoundTest::allFailures, VMS, split);
  }

  @Test
  public void permitsHeldThroughAnyPauseAddNothingToTheBurst() {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      Run run = new Run(seed);
      for (int round = 0; round < 8; round++) {
        run.pauseHolderAndSurge();
        assertEquals(run.fleet.checker.overshoot(), 0.0, "seed " + seed + " round " + round);
      }
    }
  }

  private static void allFailures(Run run, int step) {
    run.fleet.network.faults(0.1, 0.2, 500);
    run.toggleAtRandom(step, vm -> run.fleet.isolate(vm, true), vm -> run.fleet.isolate(vm, false));
    run.toggleAtRandom(step, vm -> run.fleet.clock(vm).pause(), run::resume);
    run.toggleAtRandom(step, run.fleet::start, vm -> {});
  }

  private static void runEverySeed(BiConsumer<Run, Integer> failures) {
    runEverySeed(failures, VMS, new LimitSettings(VMS, 0.2, 60_000));
  }

  private static void runEverySeed(
      BiConsumer<Run, Integer> failures, int owningVms, LimitSettings settings) {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      Run run = new Run(seed, owningVms, settings);
      for (int step = 0; step < STEPS; step++) {
        failures.accept(run, step);
        run.step();
        assertEquals(run.fleet.checker.overshoot(), 0.0, "seed " + seed + " step " + step);
      }
      assertTrue(run.admitted > 0, "seed " + seed + " admitted nothing");
    }
  }

  private enum Load {
    QUIET,
    SINGLE_VM,
    SURGE
  }

  private static final class Run {
    private final SplittableRandom random;
    private final LimitFleet fleet;
    private Load load = Load.QUIET;
    private VmId loadedVm = new VmId("vm-0");
    private int admitted;
    private int nextRequest;

    private Run(long seed, int owningVms, LimitSettings settings) {
      random = new SplittableRandom(seed);
      fleet = new LimitFleet(seed, VMS, settings);
      fleet.apply(TABLE);
      fleet.owners.setHintLag(random.nextInt(800));
      long from = 0;
      while (from < RUN_MILLIS) {
        long to = from + 500 + random.nextInt(15_000);
        fleet.setOwner(fleet.vms.get(random.nextInt(owningVms)), from, to);
        from = to + (random.nextBoolean() ? 0 : random.nextInt(1_500));
      }
    }

    private Run(long seed) {
      random = new SplittableRandom(seed);
      fleet = new LimitFleet(seed, VMS, new LimitSettings(VMS, 0, 60_000));
      fleet.network.faults(0, 0.5, 3);
      fleet.apply(TABLE);
      fleet.setOwner(fleet.vms.getFirst(), 0, Long.MAX_VALUE / 2);
    }

    /**
     * Makes a VM obtain permits and pauses it; resumes it when the bucket may be full again and
     * sends a surge of requests to all VMs.
     */
    private void pauseHolderAndSurge() {
      VmId paused = fleet.vms.get(1 + random.nextInt(VMS - 1));
      fleet.time.advance(2_500);
      for (int i = 0; i < random.nextInt(20); i++) {
        request(paused, 1);
        fleet.time.advance(random.nextInt(15));
      }
      request(paused, random.nextInt(20));
      fleet.time.advance(random.nextInt(10));
      fleet.clock(paused).pause();
      fleet.time.advance(500 + random.nextInt(4_000));
      resume(paused);
      fleet.vms.forEach(vm -> request(vm, 40));
      fleet.time.advance(20);
      fleet.vms.forEach(vm -> request(vm, 40));
    }

    private void step() {
      fleet.time.advance(1 + random.nextInt(40));
      if (random.nextInt(40) == 0) {
        load = Load.values()[random.nextInt(Load.values().length)];
        loadedVm = fleet.vms.get(random.nextInt(VMS));
      }
      if (load == Load.SINGLE_VM) {
        request(loadedVm, random.nextInt(3));
      } else if (load == Load.SURGE) {
        fleet.vms.forEach(vm -> request(vm, random.nextInt(10)));
      }
    }

    private void request(VmId vm, int requests) {
      for (int i = 0; i < requests; i++) {
        OrganisationId organisation = random.nextInt(5) == 0 ? SMALL : LARGE;
        boolean retry = nextRequest > 100 && random.nextInt(10) == 0;
        int request = retry ? nextRequest - 1 - random.nextInt(100) : nextRequest++;
        fleet.request(vm, organisation, "r" + request, this::countAdmission);
      }
    }

    private void resume(VmId vm) {
      fleet.clock(vm).resume(() -> request(vm, 30));
    }

    private void countAdmission(LimitDecision decision) {
      if (decision instanceof LimitDecision.Admitted) {
        admitted++;
      }
    }

    private void toggleAtRandom(
        int step, Consumer<VmId> begin, java.util.function.Consumer<VmId> end) {
      VmId vm = fleet.vms.get(random.nextInt(VMS));
      if (random.nextInt(40) == 0) {
        begin.accept(vm);
      } else if (random.nextInt(15) == 0) {
        end.accept(vm);
      }
    }
  }
}
