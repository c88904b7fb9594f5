package org.ragworttide.coordination.orders;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.limits.LimitDecision;
import org.ragworttide.coordination.net.Seeds;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.Test;

/**
 * Tests that correctness does not depend on a single owner: two daemons permanently send orders to
 * one engine.
 */
public class TwoOwnersTest {
  private static final UpstreamId ENGINE = new UpstreamId("engine-1");
  private static final long STEP_MILLIS = 500;

  @Test
  public void newerVersionPrevailsAtEngineThatIgnoresFencingExceptForOrdersInFlight() {
    Seeds.each(
        seed -> {
          Simulation simulation = new Simulation(seed);
          final Orders older = simulation.daemon(5);
          final Orders newer = simulation.daemon(6);
          simulation.run(120);
          assertEquals(simulation.state.role(), "role-6");
          final int sent = simulation.sent;
          simulation.run(120);
          assertEquals(simulation.sent, sent, "orders after the newer version had won");
          simulation.applyOrder(5);
          simulation.run(20);
          assertEquals(simulation.state.role(), "role-6");
          assertTrue(newer.pending().isEmpty());
          assertEquals(older.pending().getFirst().reason(), PendingOrder.Reason.SUPERSEDED);
        });
  }

  @Test
  public void twoOwnersOfOneVersionSendTheSameOrderAndBothStopSending() {
    Seeds.each(
        seed -> {
          Simulation simulation = new Simulation(seed);
          simulation.daemon(6);
          simulation.daemon(6);
          simulation.run(60);
          final int sent = simulation.sent;
          simulation.run(60);
          assertEquals(simulation.sent, sent);
          assertEquals(simulation.state.loaded(), Set.copyOf(wanted(6).artifacts()));
        });
  }

  private static WantedState wanted(long version) {
    Artifact model = new Artifact(Artifact.Kind.MODEL, "m", Long.toString(version));
    return new WantedState(List.of(model), "role-" + version);
  }

  /** An engine that ignores fencing, with delayed orders, answers and reports. */
  private static final class Simulation {
    private final ManualTimerService time = new ManualTimerService();
    private final SplittableRandom random;
    private final List<Orders> daemons = new ArrayList<>();
    private EngineState state = new EngineState(0, Set.of(), Set.of(), "idle");
    private int sent;

    private Simulation(long seed) {
      random = new SplittableRandom(seed);
    }

    private Orders daemon(long version) {
      Orders orders =
          new Orders(
              time,
              engine -> true,
              (request, decision) -> decision.accept(new LimitDecision.Admitted(false)),
              OrderSettings.DEFAULTS,
              "run-" + daemons.size());
      EngineGoal goal = new EngineGoal(wanted(version), false);
      orders.apply(new OrderPolicy(version, Map.of(ENGINE, goal), Optional.empty()));
      orders.sendWith(this::send);
      daemons.add(orders);
      return orders;
    }

    private void send(EngineOrder order, Consumer<OrderResult> result) {
      sent++;
      if (random.nextInt(4) > 0) {
        time.after(random.nextLong(3_000), () -> applyOrder(order.fencingNumber()));
        time.after(3_000 + random.nextLong(1_000), () -> result.accept(new OrderResult.Accepted()));
      }
    }

    private void applyOrder(long version) {
      WantedState wanted = wanted(version);
      state = new EngineState(version, Set.copyOf(wanted.artifacts()), Set.of(), wanted.role());
    }

    private void run(int seconds) {
      for (long passed = 0; passed < seconds * 1_000L; passed += STEP_MILLIS) {
        long measured = time.nowMillis();
        EngineReport report = new EngineReport(ENGINE, 1, measured, Optional.of(state));
        daemons.forEach(daemon -> time.after(random.nextLong(400), () -> daemon.report(report)));
        time.advance(STEP_MILLIS);
      }
    }
  }
}
