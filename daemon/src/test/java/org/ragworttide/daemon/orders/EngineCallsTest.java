package org.ragworttide.daemon.orders;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.orders.Artifact;
import org.ragworttide.coordination.orders.EngineOrder;
import org.ragworttide.coordination.orders.OrderResult;
import org.ragworttide.coordination.orders.WantedState;
import org.ragworttide.daemon.upstream.SendGate;
import org.ragworttide.daemon.upstream.UpstreamClient;
import org.ragworttide.daemon.upstream.UpstreamSettings;
import org.ragworttide.fakes.FakeEngine;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the effect of orders on a fake engine and the results that the sender reports. */
public class EngineCallsTest {
  private static final Artifact MODEL = new Artifact(Artifact.Kind.MODEL, "repair", "3");

  private FakeEngine engine;
  private EngineCalls calls;

  /** Starts an engine that checks fencing numbers. */
  @BeforeMethod
  public void start() {
    engine = FakeEngine.start("engine-1", 0, Set.of());
    engine.acceptOrders(true);
    calls = new EngineCalls(new UpstreamClient(UpstreamSettings.defaults(), Optional.empty()));
  }

  /** Stops the engine. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    engine.close();
  }

  @Test
  public void engineExecutesOrderAndRefusesOlderOneWithItsNewestNumber() {
    assertEquals(send(7, () -> true), new OrderResult.Accepted());
    assertEquals(engine.fetches(), 1);
    assertEquals(send(6, () -> true), new OrderResult.Outdated(7));
  }

  @Test
  public void orderThatWaitedTooLongForItsConnectionIsNotSent() {
    assertTrue(send(7, () -> false) instanceof OrderResult.NotSent);
    assertEquals(engine.fetches(), 0);
  }

  @Test
  public void orderToStoppedEngineIsReportedAsNotSent() {
    engine.close();
    assertTrue(send(7, () -> true) instanceof OrderResult.NotSent);
  }

  private OrderResult send(long number, SendGate gate) {
    WantedState wanted = new WantedState(List.of(MODEL), "serve");
    EngineOrder order =
        new EngineOrder(new UpstreamId("engine-1"), number, wanted, Optional.of(MODEL));
    return calls.send(new InetSocketAddress("127.0.0.1", engine.port()), order, gate).block();
  }
}
