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

/** Brings about failures at random and checks after every step that no limit is exceeded. */
public class LimitBoundTest {
  private static final OrganisationId LARGE = new OrganisationId("large");
  private static final OrganisationId SMALL = new OrganisationId("small");
  private static final Map<OrganisationId, RateLimit> TABLE =
      Map.of(LARGE, new RateLimit(200, 120), SMALL, new RateLimit(3, 6));
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final int VMS = 5;

  @Test
  public void healthyFleetStaysWithinTheLimit() {
    everySeed((run, step) -> {});
  }

  @Test
  public void lostRepeatedAndReorderedMessagesMintNoTokens() {
    everySeed((run, step) -> run.fleet.network.faults(0.2, 0.3, 600));
  }

  @Test
  public void partitionsMintNoTokens() {
    everySeed(
        (run, step) ->
            run.sometimes(
                step, vm -> run.fleet.isolate(vm, true), vm -> run.fleet.isolate(vm, false)));
  }

  @Test
  public void pausedProcessesMintNoTokens() {
    everySeed(
        (run, step) ->
            run.sometimes(
                step, vm -> run.fleet.clock(vm).pause(), vm -> run.fleet.clock(vm).resume()));
  }

  @Test
  public void restartedProcessesMintNoTokens() {
    everySeed((run, step) -> run.sometimes(step, run.fleet::start, vm -> {}));
  }

  @Test
  public void forwardJumpsOfHolderClocksMintNoTokens() {
    everySeed(
        (run, step) -> {
          if (step % 50 == 0) {
            run.fleet.clock(run.fleet.vms.getLast()).jump(700);
          }
        },
        VMS - 1,
        0);
  }

  @Test
  public void allFailuresTogetherMintNoTokens() {
    everySeed(
        (run, step) -> {
          run.fleet.network.faults(0.1, 0.2, 500);
          run.sometimes(
              step, vm -> run.fleet.isolate(vm, true), vm -> run.fleet.isolate(vm, false));
          run.sometimes(
              step, vm -> run.fleet.clock(vm).pause(), vm -> run.fleet.clock(vm).resume());
          run.sometimes(step, run.fleet::start, vm -> {});
        });
  }

  private static void everySeed(BiConsumer<Run, Integer> failures) {
    everySeed(failures, VMS, LimitSettings.DEFAULT_RESERVE_SHARE);
  }

  private static void everySeed(
      BiConsumer<Run, Integer> failures, int owningVms, double reserveShare) {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      Run run = new Run(seed, owningVms, reserveShare);
      for (int step = 0; step < 1_200; step++) {
        failures.accept(run, step);
        run.step();
        assertEquals(run.fleet.checker.overshoot(), 0.0, "seed " + seed + " step " + step);
      }
      assertTrue(run.admitted > 0, "seed " + seed + " admitted nothing");
    }
  }

  private static final class Run {
    private final SplittableRandom random;
    private final LimitFleet fleet;
    private int admitted;
    private int nextRequest;

    private Run(long seed, int owningVms, double reserveShare) {
      random = new SplittableRandom(seed);
      fleet = new LimitFleet(seed, VMS, new LimitSettings(VMS, reserveShare, 60_000));
      fleet.apply(TABLE);
      fleet.owners.hintLag(random.nextInt(800));
      long from = 0;
      while (from < 30_000) {
        long to = from + 500 + random.nextInt(6_000);
        fleet.own(fleet.vms.get(random.nextInt(owningVms)), from, to);
        from = to + (random.nextBoolean() ? 0 : random.nextInt(1_500));
      }
    }

    private void step() {
      fleet.time.advance(1 + random.nextInt(20));
      int requests = random.nextInt(8);
      for (int i = 0; i < requests; i++) {
        OrganisationId organisation = random.nextInt(5) == 0 ? SMALL : LARGE;
        boolean retry = nextRequest > 100 && random.nextInt(10) == 0;
        int request = retry ? nextRequest - 1 - random.nextInt(100) : nextRequest++;
        VmId vm = fleet.vms.get(random.nextInt(VMS));
        fleet.request(vm, organisation, "r" + request, this::follow);
      }
    }

    private void follow(LimitDecision decision) {
      if (decision instanceof LimitDecision.Admitted) {
        admitted++;
      }
    }

    private void sometimes(int step, Consumer<VmId> begin, java.util.function.Consumer<VmId> end) {
      VmId vm = fleet.vms.get(random.nextInt(VMS));
      if (random.nextInt(40) == 0) {
        begin.accept(vm);
      } else if (random.nextInt(15) == 0) {
        end.accept(vm);
      }
    }
  }
}
