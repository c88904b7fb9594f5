package org.ragworttide.coordination.zones;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.testng.annotations.Test;

/** Tests when a zone counts as unreachable and as reachable again. */
public class ZoneReachabilityTest {
  private static final ZoneId ZONE = new ZoneId("far");
  private static final long VERDICT = ZoneReachability.VERDICT_MILLIS;
  private static final long INTERVAL = ZoneReachability.CHECK_INTERVAL_MILLIS;

  private final ZoneReachability zones = new ZoneReachability();

  private static ZoneReachability lostZone() {
    ZoneReachability lost = new ZoneReachability();
    lost.recordSuspicion(ZONE);
    lost.startChecks(0);
    assertEquals(lost.endChecks(VERDICT), List.of(ZONE));
    return lost;
  }

  @Test
  public void suspicionAloneLosesNoZone() {
    ZoneReachability suspected = new ZoneReachability();
    suspected.recordSuspicion(ZONE);
    assertEquals(suspected.endChecks(10_000), List.of());
    assertEquals(suspected.unreachable(), Set.of());
  }

  @Test
  public void checkThatNobodyAnswersLosesTheZone() {
    assertEquals(lostZone().unreachable(), Set.of(ZONE));
  }

  @Test
  public void checkIsStartedOnceForManySuspicions() {
    ZoneReachability suspected = new ZoneReachability();
    suspected.recordSuspicion(ZONE);
    suspected.recordSuspicion(ZONE);
    assertEquals(suspected.startChecks(0), List.of(new ZoneReachability.Check(ZONE, 3)));
    suspected.recordSuspicion(ZONE);
    assertEquals(suspected.startChecks(50), List.of());
  }

  @Test
  public void answerDuringTheCheckKeepsTheZone() {
    zones.recordSuspicion(ZONE);
    zones.startChecks(0);
    assertFalse(zones.recordContact(ZONE, VERDICT / 2));
    assertEquals(zones.endChecks(VERDICT), List.of());
  }

  @Test
  public void lostZoneIsCheckedAgainUntilItAnswers() {
    ZoneReachability lost = lostZone();
    assertEquals(lost.startChecks(INTERVAL - 1), List.of());
    assertEquals(lost.startChecks(INTERVAL), List.of(new ZoneReachability.Check(ZONE, 2)));
    assertEquals(lost.endChecks(INTERVAL + VERDICT), List.of());
    assertTrue(lost.recordContact(ZONE, INTERVAL + VERDICT));
    assertEquals(lost.unreachable(), Set.of());
    assertEquals(lost.startChecks(3 * INTERVAL), List.of());
  }

  @Test
  public void contactWithReachableZoneIsNoChange() {
    assertFalse(new ZoneReachability().recordContact(ZONE, 0));
  }

  @Test
  public void upstreamThatRefusesConnectionsAloneIsNoSuspicion() {
    ZoneReachability refusing = new ZoneReachability();
    refusing.recordRefusal(ZONE, new UpstreamId("u1"));
    refusing.recordRefusal(ZONE, new UpstreamId("u1"));
    assertEquals(refusing.startChecks(0), List.of());
  }

  @Test
  public void zoneThatRefusesAllConnectionsIsUnreachableButNotSilent() {
    ZoneReachability refusing = new ZoneReachability();
    refusing.recordRefusal(ZONE, new UpstreamId("u1"));
    refusing.recordRefusal(ZONE, new UpstreamId("u2"));
    assertEquals(refusing.startChecks(0), List.of(new ZoneReachability.Check(ZONE, 6)));
    refusing.recordRefusal(ZONE, new UpstreamId("u3"));
    assertEquals(refusing.endChecks(VERDICT), List.of(ZONE));
    assertFalse(refusing.isSilent(ZONE));
  }

  @Test
  public void zoneThatFallsSilentAfterRefusalIsSilent() {
    ZoneReachability silent = new ZoneReachability();
    silent.recordRefusal(ZONE, new UpstreamId("u1"));
    silent.recordSuspicion(ZONE);
    silent.startChecks(0);
    silent.endChecks(VERDICT);
    assertTrue(silent.isSilent(ZONE));
  }

  @Test
  public void openedConnectionBetweenRefusalsEndsTheSuspicion() {
    ZoneReachability refusing = new ZoneReachability();
    refusing.recordRefusal(ZONE, new UpstreamId("u1"));
    refusing.recordContact(ZONE, 0);
    refusing.recordRefusal(ZONE, new UpstreamId("u2"));
    assertEquals(refusing.startChecks(0), List.of());
  }

  /** Guards against a check for each statement of a VM whose own way is cut. */
  @Test
  public void verdictOfAnotherVmStartsNoCheckAfterContact() {
    ZoneReachability reached = new ZoneReachability();
    reached.recordContact(ZONE, 0);
    reached.recordPeerVerdict(ZONE, ZoneReachability.RECENT_CONTACT_MILLIS - 1);
    assertEquals(reached.startChecks(0), List.of());
    reached.recordPeerVerdict(ZONE, ZoneReachability.RECENT_CONTACT_MILLIS);
    assertEquals(reached.startChecks(0).size(), 1);
  }
}
