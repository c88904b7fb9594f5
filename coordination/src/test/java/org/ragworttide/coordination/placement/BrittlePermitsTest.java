package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragworttide.coordination.placement.BrittlePermits.PermitId;
import org.ragworttide.coordination.placement.BrittlePermits.Terms;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the permits for requests to brittle upstreams. */
public class BrittlePermitsTest {
  private static final long NOW = 1_000_000;
  private static final int UPSTREAM = 5;
  private static final int SLOTS = 6;
  private static final Terms TERMS = new Terms(SLOTS, 2, NOW);

  /** Terms of an upstream that may have less room than usual. */
  private static final Terms LATER = new Terms(SLOTS, 2, NOW - BrittlePermits.USUAL_ROOM_MILLIS);

  private FleetMembers members;
  private BrittlePermits permits;
  private long number;

  /** Creates a VM that owns all upstreams. */
  @BeforeMethod
  public void create() {
    members = new FleetMembers();
    members.set(1, List.of(), 0);
    permits = new BrittlePermits(members, 0);
    number = 0;
  }

  private int grants(int questions, Terms terms, long nowMillis) {
    int granted = 0;
    for (int i = 0; i < questions; i++) {
      number++;
      granted += permits.tryGrant(UPSTREAM, new PermitId(1, number), terms, nowMillis) ? 1 : 0;
    }
    return granted;
  }

  private void end(long permit, boolean isRejected, long nowMillis) {
    permits.recordEnd(UPSTREAM, new PermitId(1, permit), isRejected, nowMillis);
  }

  @Test
  public void requestsThatFitIntoTheSlotsArePermittedAndOneProbe() {
    assertEquals(grants(20, TERMS, NOW), SLOTS + 1);
  }

  @Test
  public void upstreamWhoseRoomIsUnknownReceivesOneProbe() {
    assertEquals(grants(20, LATER, NOW), 1);
  }

  /** Guards against an upstream that tolerates nothing and therefore never receives a request. */
  @Test
  public void upstreamThatToleratesNothingReceivesRequestsWithinItsSlots() {
    Terms none = new Terms(SLOTS, 0, NOW - BrittlePermits.USUAL_ROOM_MILLIS);
    for (long now = NOW; now < NOW + 2_000; now += BrittlePermits.DECIDED_MILLIS) {
      grants(20, none, now);
    }
    assertEquals(grants(20, none, NOW + 2_000), 0);
    end(1, false, NOW + 2_000);
    assertEquals(grants(20, none, NOW + 2_000), 1);
  }

  @Test
  public void roomDoublesWithEachAcceptedProbe() {
    assertEquals(grants(20, LATER, NOW), 1);
    end(1, false, NOW + 50);
    assertEquals(grants(20, LATER, NOW + 50), 3);
  }

  @Test
  public void rejectionLowersTheRoomAndStopsProbesForSecond() {
    assertEquals(grants(3, TERMS, NOW), 3);
    end(3, true, NOW + 10);
    assertEquals(grants(20, TERMS, NOW + 20), 0);
    end(1, false, NOW + 30);
    assertEquals(grants(20, TERMS, NOW + 40), 1);
    assertEquals(grants(20, TERMS, NOW + 10 + BrittlePermits.WINDOW_MILLIS), 1);
  }

  /** Guards against a report that is sent twice and counts as two rejections. */
  @Test
  public void endCountsOnce() {
    Terms five = new Terms(SLOTS, 5, NOW);
    assertEquals(grants(SLOTS, five, NOW), SLOTS);
    end(SLOTS, true, NOW);
    end(SLOTS, true, NOW + 100);
    assertEquals(grants(20, five, NOW + 100), 1);
  }

  @Test
  public void requestsThatWereSentBeforeTakeUpRoom() {
    for (int i = 1; i <= SLOTS; i++) {
      permits.recordRunning(UPSTREAM, new PermitId(2, i), TERMS, NOW);
    }
    assertEquals(grants(20, TERMS, NOW), 1);
  }

  @Test
  public void permitWhoseEndIsNotReportedExpires() {
    assertEquals(grants(20, TERMS, NOW), SLOTS + 1);
    grants(1, TERMS, NOW + BrittlePermits.LEASE_MILLIS / 2);
    assertTrue(grants(20, TERMS, NOW + BrittlePermits.LEASE_MILLIS) >= SLOTS);
  }

  @Test
  public void otherVmThanTheOwnerPermitsNothing() {
    members.set(1, List.of(2L, 3L, 4L, 5L, 6L, 7L), 0);
    int owned = 0;
    for (int upstream = 0; upstream < 70; upstream++) {
      boolean granted = permits.tryGrant(upstream, new PermitId(1, 1), TERMS, NOW);
      assertEquals(granted, members.isOwner(upstream, NOW));
      owned += granted ? 1 : 0;
    }
    assertTrue(owned > 0 && owned < 70);
  }
}
