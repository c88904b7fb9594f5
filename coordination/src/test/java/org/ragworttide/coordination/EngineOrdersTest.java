package org.ragworttide.coordination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.net.Chaos;
import org.ragworttide.coordination.net.Seeds;
import org.ragworttide.coordination.orders.OrderResult;
import org.testng.annotations.Test;

/** Checks orders to engines in fleets of whole coordinators under failures. */
public class EngineOrdersTest {
  private static final long START_MILLIS = 15_000;
  private static final String[] VMS = {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"};

  @Test
  public void enginesBecomeWhatIsWantedUnderLossAndChaosAndStayWithinTheStoresLimit() {
    Seeds.each(
        seed -> {
          OrderFleet world = new OrderFleet(seed, 6, VMS);
          final Chaos chaos = new Chaos(world.fleet);
          world.lossShare = 0.2;
          world.maxDelayMillis = 6_000;
          world.fleet.network().faults(0.05, 0.02, 50);
          for (int round = 0; round < 60; round++) {
            disturb(world, chaos, round);
            world.run(600);
          }
          chaos.calm();
          world.lossShare = 0;
          world.maxDelayMillis = 20;
          world.adoptEverywhere();
          world.run(75_000);
          assertTrue(world.allAsWanted(), "an engine is not as wanted " + world.state());
        });
  }

  @Test
  public void engineThatIgnoresFencingIsMendedSecondsAfterOneLateOrder() {
    Seeds.each(
        seed -> {
          OrderFleet world = settled(seed, 2);
          world.want("v2");
          world.adoptEverywhere();
          world.run(8_000);
          assertTrue(world.allAsWanted());
          OrderedEngine engine = world.engines.get(1);
          world.take(world.order(engine, 1));
          assertTrue(!world.allAsWanted(), "the late order had no effect");
          world.run(4_000);
          assertTrue(world.allAsWanted(), "the late order was not undone");
        });
  }

  @Test
  public void engineThatChecksFencingRefusesLateOrderAlsoWhenTheWantedStateCameBack() {
    Seeds.each(
        seed -> {
          OrderFleet world = settled(seed, 2);
          world.want("v2");
          world.want("v1");
          world.adoptEverywhere();
          world.run(8_000);
          OrderedEngine engine = world.engines.get(0);
          assertEquals(engine.number(), 3);
          assertEquals(world.take(world.order(engine, 2)), new OrderResult.Old(3));
        });
  }

  @Test
  public void daemonThatWakesWithOldVersionDoesNotUndoNewerOrder() {
    Seeds.each(
        seed -> {
          OrderFleet world = settled(seed, 2);
          VmId sleeper = new VmId(VMS[(int) (seed % VMS.length)]);
          world.fleet.timers(sleeper).pause();
          world.want("v2");
          world.fleet.vms().stream().filter(vm -> !vm.equals(sleeper)).forEach(world::adoptNewest);
          world.run(12_000);
          assertTrue(world.allAsWanted(), "the others did not order");
          world.fleet.timers(sleeper).resume();
          world.run(10_000, now -> assertTrue(now.allAsWanted(), "an old version was ordered"));
        });
  }

  @Test
  public void restartOfAllEnginesLoadsThemAgainWithinTheStoresLimit() {
    Seeds.each(
        seed -> {
          OrderFleet world = settled(seed, 6);
          world.engines.forEach(OrderedEngine::restart);
          world.run(12_000);
          assertTrue(world.allAsWanted(), "an engine was not loaded again");
        });
  }

  @Test
  public void lostOrdersAndAnswersAreMadeGoodAndNoneIsSentOnceEnginesFit() {
    Seeds.each(
        seed -> {
          OrderFleet world = new OrderFleet(seed, 2, VMS);
          world.lossShare = 0.5;
          world.run(300_000);
          assertTrue(world.allAsWanted(), "an engine is not as wanted");
          final long sent = world.sent();
          world.run(30_000);
          assertEquals(world.sent(), sent);
        });
  }

  @Test
  public void minorityThatIsCutOffSendsNoOrder() {
    Seeds.each(
        seed -> {
          OrderFleet world = settled(seed, 2);
          for (VmId from : world.fleet.vms()) {
            world.fleet.vms().forEach(to -> world.fleet.network().cut(from, to, true));
          }
          world.run(8_000);
          final long sent = world.sent();
          world.engines.forEach(OrderedEngine::restart);
          world.run(10_000);
          assertEquals(world.sent(), sent);
          world.fleet.network().heal();
          world.run(30_000);
          assertTrue(world.allAsWanted(), "no order after the partition");
        });
  }

  private static OrderFleet settled(long seed, int engines) {
    OrderFleet world = new OrderFleet(seed, engines, VMS);
    world.run(START_MILLIS);
    assertTrue(world.allAsWanted(), "an engine is not as wanted at the start");
    return world;
  }

  private static void disturb(OrderFleet world, Chaos chaos, int round) {
    chaos.strike();
    if (round % 10 == 5) {
      world.want("v" + (2 + round / 10));
    }
    if (round % 7 == 3) {
      world.engines.get(round % world.engines.size()).restart();
    }
    world.adoptNewest(world.fleet.vms().get(round % world.fleet.vms().size()));
  }
}
