package org.ragworttide.gateway.view;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.gateway.model.CallerLimits;
import org.ragworttide.gateway.model.Configuration;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.UpstreamEntry;
import org.testng.annotations.Test;

/** Feeds published facts and outages of their publisher into the view. */
public class FleetFactsTest {
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final UpstreamId ID = new UpstreamId("a");

  private final ManualTimerService time = new ManualTimerService();

  private static UpstreamEntry entry(boolean draining, long bornMillis) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    return new UpstreamEntry(ID, SERVICE, address, new ZoneId("z"), 8, draining, 0, bornMillis);
  }

  private static Configuration configuration(long version) {
    return new Configuration(version, List.of(), List.of(), CallerLimits.DEFAULTS, List.of());
  }

  @Test
  public void leavingUpstreamGetsNothingNew() {
    FleetView view = new FleetView();
    FleetFacts facts = new FleetFacts(view, time);
    facts.published(entry(false, 1));
    assertEquals(view.open(SERVICE).size(), 1);
    facts.published(entry(true, 1));
    assertTrue(view.open(SERVICE).isEmpty());
  }

  @Test
  public void withdrawalInTouchHoldsAtOnce() {
    FleetView view = new FleetView();
    FleetFacts facts = new FleetFacts(view, time);
    facts.published(entry(false, 1));
    facts.withdrawn(ID);
    assertTrue(view.open(SERVICE).isEmpty());
  }

  @Test
  public void entryThatLapsedInAnOutageStaysUntilItCouldBeBack() {
    FleetView view = new FleetView();
    FleetFacts facts = new FleetFacts(view, time);
    facts.published(entry(false, 1));
    facts.sourceLost("down");
    time.advance(5_000);
    facts.sourceRead(9);
    facts.listed(Set.of());
    facts.caughtUp();
    assertEquals(view.open(SERVICE).size(), 1);
    time.advance(1_000);
    facts.published(entry(false, 1));
    time.advance(5_000);
    assertEquals(view.open(SERVICE).size(), 1);
  }

  @Test
  public void entryThatIsNotBackAfterAnOutageIsGone() {
    FleetView view = new FleetView();
    FleetFacts facts = new FleetFacts(view, time);
    facts.published(entry(false, 1));
    facts.sourceLost("down");
    time.advance(5_000);
    facts.sourceRead(9);
    facts.listed(Set.of());
    facts.caughtUp();
    time.advance(2_100);
    assertTrue(view.open(SERVICE).isEmpty());
  }

  @Test
  public void withdrawalAfterTheReturnHoldsAtOnce() {
    FleetView view = new FleetView();
    FleetFacts facts = new FleetFacts(view, time);
    facts.published(entry(false, 1));
    facts.sourceLost("down");
    time.advance(5_000);
    facts.sourceRead(9);
    facts.caughtUp();
    facts.withdrawn(ID);
    assertTrue(view.open(SERVICE).isEmpty());
  }

  @Test
  public void configurationNeverGoesBack() {
    FleetView view = new FleetView();
    FleetFacts facts = new FleetFacts(view, time);
    facts.configured(configuration(7), 20);
    facts.configured(configuration(5), 10);
    assertEquals(view.configuration().orElseThrow().version(), 7);
  }

  @Test
  public void zoneTakenOutGetsNothingUntilItIsTakenBack() {
    FleetView view = new FleetView();
    FleetFacts facts = new FleetFacts(view, time);
    facts.published(entry(false, 1));
    facts.evacuated(new ZoneId("z"));
    assertTrue(view.open(SERVICE).isEmpty());
    facts.evacuations(Set.of());
    assertEquals(view.open(SERVICE).size(), 1);
  }

  @Test
  public void newStartUnderKnownIdBeginsAnew() {
    FleetView view = new FleetView();
    FleetFacts facts = new FleetFacts(view, time);
    facts.published(entry(false, 1));
    view.open(SERVICE).getFirst().load().started();
    facts.published(entry(false, 2));
    assertEquals(view.open(SERVICE).getFirst().load().inFlight(), 0);
  }
}
