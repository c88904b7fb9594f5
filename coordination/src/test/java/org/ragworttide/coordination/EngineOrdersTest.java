package org.ragworttide.coordination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.net.FailureInjector;
import org.ragworttide.coordination.net.Seeds;
import org.ragworttide.coordination.orders.OrderResult;
import org.testng.annotations.Test;

/** Tests orders to engines in fleets of complete coordinators under failures. */
public class EngineOrdersTest {
  private static final long START_MILLIS = 15_000;
  private static final String[] VMS = {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"};

  @Test
  public void enginesReachWantedStateUnderFailuresWithinTheLimitOfTheWeightStore() {
    Seeds.each(
        seed -> {
          OrderFleet orderFleet = new OrderFleet(seed, 6, VMS);
          final FailureInjector chaos = new FailureInjector(orderFleet.fleet);
          orderFleet.lossShare = 0.2;
          orderFleet.maxDelayMillis = 6_000;
          orderFleet.fleet.network().faults(0.05, 0.02, 50);
          for (int round = 0; round < 60; round++) {
            injectFailures(orderFleet, chaos, round);
            orderFleet.run(600);
          }
          chaos.endFailures();
          orderFleet.lossShare = 0;
          orderFleet.maxDelayMillis = 20;
          orderFleet.adoptEverywhere();
          orderFleet.run(75_000);
          assertTrue(
              orderFleet.allHaveWantedState(),
              "an engine does not have its wanted state: " + orderFleet.state());
        });
  }

  @Test
  public void engineThatIgnoresFencingIsCorrectedSecondsAfterOneLateOrder() {
    Seeds.each(
        seed -> {
          OrderFleet orderFleet = settled(seed, 2);
          orderFleet.publishWanted("v2");
          orderFleet.adoptEverywhere();
          orderFleet.run(8_000);
          assertTrue(orderFleet.allHaveWantedState());
          OrderedEngine engine = orderFleet.engines.get(1);
          orderFleet.deliverOrder(orderFleet.order(engine, 1));
          assertTrue(!orderFleet.allHaveWantedState(), "the late order had no effect");
          orderFleet.run(4_000);
          assertTrue(orderFleet.allHaveWantedState(), "the late order was not corrected");
        });
  }

  @Test
  public void engineThatChecksFencingRefusesLateOrderForStateThatIsWantedAgain() {
    Seeds.each(
        seed -> {
          OrderFleet orderFleet = settled(seed, 2);
          orderFleet.publishWanted("v2");
          orderFleet.publishWanted("v1");
          orderFleet.adoptEverywhere();
          orderFleet.run(8_000);
          OrderedEngine engine = orderFleet.engines.get(0);
          assertEquals(engine.newestNumber(), 3);
          assertEquals(
              orderFleet.deliverOrder(orderFleet.order(engine, 2)), new OrderResult.Outdated(3));
        });
  }

  @Test
  public void daemonResumedWithOldVersionDoesNotUndoNewerOrder() {
    Seeds.each(
        seed -> {
          OrderFleet orderFleet = settled(seed, 2);
          VmId pausedVm = new VmId(VMS[(int) (seed % VMS.length)]);
          orderFleet.fleet.timers(pausedVm).pause();
          orderFleet.publishWanted("v2");
          orderFleet.fleet.vms().stream()
              .filter(vm -> !vm.equals(pausedVm))
              .forEach(orderFleet::adoptNewest);
          orderFleet.run(12_000);
          assertTrue(orderFleet.allHaveWantedState(), "the other daemons sent no order");
          orderFleet.fleet.timers(pausedVm).resume();
          orderFleet.run(
              10_000, now -> assertTrue(now.allHaveWantedState(), "an old version was ordered"));
        });
  }

  @Test
  public void restartedEnginesAreReloadedWithinTheLimitOfTheWeightStore() {
    Seeds.each(
        seed -> {
          OrderFleet orderFleet = settled(seed, 6);
          orderFleet.engines.forEach(OrderedEngine::restart);
          orderFleet.run(12_000);
          assertTrue(orderFleet.allHaveWantedState(), "an engine was not reloaded");
        });
  }

  @Test
  public void lostOrdersAndAnswersAreRetriedAndOrdersEndOnceEnginesHaveTheWantedState() {
    Seeds.each(
        seed -> {
          OrderFleet orderFleet = new OrderFleet(seed, 2, VMS);
          orderFleet.lossShare = 0.5;
          orderFleet.run(300_000);
          assertTrue(orderFleet.allHaveWantedState(), "an engine does not have its wanted state");
          final long sent = orderFleet.sent();
          orderFleet.run(30_000);
          assertEquals(orderFleet.sent(), sent);
        });
  }

  @Test
  public void isolatedDaemonsSendNoOrder() {
    Seeds.each(
        seed -> {
          OrderFleet orderFleet = settled(seed, 2);
          for (VmId from : orderFleet.fleet.vms()) {
            orderFleet.fleet.vms().forEach(to -> orderFleet.fleet.network().cut(from, to, true));
          }
          orderFleet.run(8_000);
          final long sent = orderFleet.sent();
          orderFleet.engines.forEach(OrderedEngine::restart);
          orderFleet.run(10_000);
          assertEquals(orderFleet.sent(), sent);
          orderFleet.fleet.network().heal();
          orderFleet.run(30_000);
          assertTrue(orderFleet.allHaveWantedState(), "no order after the partition");
        });
  }

  private static OrderFleet settled(long seed, int engines) {
    OrderFleet orderFleet = new OrderFleet(seed, engines, VMS);
    orderFleet.run(START_MILLIS);
    assertTrue(
        orderFleet.allHaveWantedState(), "an engine does not have its wanted state at the start");
    return orderFleet;
  }

  private static void injectFailures(OrderFleet orderFleet, FailureInjector chaos, int round) {
    chaos.injectFailure();
    if (round % 10 == 5) {
      orderFleet.publishWanted("v" + (2 + round / 10));
    }
    if (round % 7 == 3) {
      orderFleet.engines.get(round % orderFleet.engines.size()).restart();
    }
    orderFleet.adoptNewest(orderFleet.fleet.vms().get(round % orderFleet.fleet.vms().size()));
  }
}
