package org.ragworttide.gateway.view;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.gateway.model.CallerLimits;
import org.ragworttide.gateway.model.Configuration;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.UpstreamEntry;
import org.testng.annotations.Test;

/**
 * Tests which upstreams are available after changes in the store and after outages of the store.
 */
public class FleetViewUpdaterTest {
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final UpstreamId ID = new UpstreamId("a");

  private final ManualTimerService time = new ManualTimerService();

  private static UpstreamEntry entry(boolean draining, long startedAtMillis) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    return new UpstreamEntry(
        ID, SERVICE, address, new ZoneId("z"), 8, draining, 0, startedAtMillis, Optional.of("v1"));
  }

  private static Configuration configuration(long version) {
    return new Configuration(version, List.of(), List.of(), CallerLimits.DEFAULTS, List.of());
  }

  @Test
  public void drainingUpstreamReceivesNoNewRequests() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.putUpstream(entry(false, 1));
    assertEquals(view.availableUpstreams(SERVICE).size(), 1);
    updater.putUpstream(entry(true, 1));
    assertTrue(view.availableUpstreams(SERVICE).isEmpty());
  }

  @Test
  public void upstreamWithdrawnWhileTheStoreIsReachableIsRemovedAtOnce() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.putUpstream(entry(false, 1));
    updater.withdrawUpstream(ID);
    assertTrue(view.availableUpstreams(SERVICE).isEmpty());
  }

  @Test
  public void entryThatExpiredDuringAnOutageIsKeptUntilItCouldBePublishedAgain() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.putUpstream(entry(false, 1));
    updater.recordStoreFailure("down");
    time.advance(5_000);
    updater.recordStoreRead(9);
    updater.withdrawUpstream(ID);
    updater.completeCatchUp();
    assertEquals(view.availableUpstreams(SERVICE).size(), 1);
    time.advance(1_000);
    updater.putUpstream(entry(false, 1));
    time.advance(5_000);
    assertEquals(view.availableUpstreams(SERVICE).size(), 1);
  }

  @Test
  public void entryThatIsNotPublishedAgainAfterAnOutageIsRemoved() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.putUpstream(entry(false, 1));
    updater.recordStoreFailure("down");
    time.advance(5_000);
    updater.recordStoreRead(9);
    updater.withdrawUpstream(ID);
    updater.completeCatchUp();
    time.advance(2_100);
    assertTrue(view.availableUpstreams(SERVICE).isEmpty());
  }

  /** Guards against the removal of an upstream that has published its entry again. */
  @Test
  public void upstreamThatReturnsAfterItsRemovalStays() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.putUpstream(entry(false, 1));
    updater.withdrawUpstream(ID, 2_000);
    updater.withdrawUpstream(ID, 0);
    assertTrue(view.availableUpstreams(SERVICE).isEmpty());
    updater.putUpstream(entry(false, 1));
    time.advance(5_000);
    assertEquals(view.availableUpstreams(SERVICE).size(), 1);
  }

  @Test
  public void upstreamWithdrawnAfterTheOutageIsRemovedAtOnce() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.putUpstream(entry(false, 1));
    updater.recordStoreFailure("down");
    time.advance(5_000);
    updater.recordStoreRead(9);
    updater.completeCatchUp();
    updater.withdrawUpstream(ID);
    assertTrue(view.availableUpstreams(SERVICE).isEmpty());
  }

  @Test
  public void olderConfigurationIsNotApplied() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.applyConfiguration(configuration(7), 20);
    updater.applyConfiguration(configuration(5), 10);
    assertEquals(view.configuration().orElseThrow().version(), 7);
  }

  /** Guards against an older configuration that a restored store gives a higher revision. */
  @Test
  public void versionsNotRevisionsOrderConfigurations() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.applyConfiguration(configuration(7), 20);
    updater.applyConfiguration(configuration(6), 21);
    assertEquals(view.configuration().orElseThrow().version(), 7);
    updater.applyConfiguration(configuration(8), 20);
    assertEquals(view.configuration().orElseThrow().version(), 8);
  }

  @Test
  public void evacuatedZoneReceivesNoRequestsUntilItIsRestored() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.putUpstream(entry(false, 1));
    updater.evacuateZone(new ZoneId("z"));
    assertTrue(view.availableUpstreams(SERVICE).isEmpty());
    updater.restoreZone(new ZoneId("z"));
    assertEquals(view.availableUpstreams(SERVICE).size(), 1);
  }

  @Test
  public void upstreamRestartedUnderKnownIdStartsWithoutLoad() {
    FleetView view = new FleetView();
    FleetViewUpdater updater = new FleetViewUpdater(view, time);
    updater.putUpstream(entry(false, 1));
    view.availableUpstreams(SERVICE).getFirst().load().recordStart(0);
    updater.putUpstream(entry(false, 2));
    assertEquals(view.availableUpstreams(SERVICE).getFirst().load().inFlight(), 0);
  }
}
