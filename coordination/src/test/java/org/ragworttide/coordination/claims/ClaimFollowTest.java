package org.ragworttide.coordination.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragworttide.coordination.claims.ClaimDecision.Granted;
import org.ragworttide.coordination.claims.ClaimDecision.MayHaveRun;
import org.ragworttide.coordination.claims.ClaimDecision.Reason;
import org.ragworttide.coordination.claims.ClaimDecision.Running;
import org.ragworttide.coordination.id.VmId;
import org.testng.annotations.Test;

/** Tests arrivals that follow the run of an earlier arrival on another VM. */
public class ClaimFollowTest {
  private static final String[] SEVEN_VMS = {"a", "b", "c", "d", "e", "f", "g"};
  private static final long FOLLOW_MILLIS = 1_500;

  @Test
  public void followingArrivalReceivesTheAnswerOfTheFirst() {
    ClaimFleet claims = granted(31);
    List<ClaimDecision> second = claims.claim("b", "key", FOLLOW_MILLIS);
    claims.run(FOLLOW_MILLIS / 2);
    assertEquals(second, List.of());
    claims.complete("a", "key");
    claims.run(100);
    assertTrue(second.getFirst() instanceof ClaimDecision.Completed, second.toString());
  }

  @Test
  public void arrivalReceivesRunningWhenItsFollowTimeIsOver() {
    ClaimFleet claims = granted(32);
    List<ClaimDecision> following = claims.claim("b", "key", FOLLOW_MILLIS);
    List<ClaimDecision> notFollowing = claims.claim("b", "key", 0);
    claims.run(FOLLOW_MILLIS / 2);
    assertEquals(notFollowing, List.of(new Running(new VmId("a"))));
    assertEquals(following, List.of());
    claims.run(FOLLOW_MILLIS);
    assertEquals(following, List.of(new Running(new VmId("a"))));
  }

  @Test
  public void followingCostsOneRequestAndOneAnswerPerTick() {
    ClaimFleet claims = granted(33);
    claims.claim("b", "key", FOLLOW_MILLIS);
    claims.run(200);
    long before = claims.fleet().network().sent();
    claims.run(1_000);
    long ticks = 1_000 / ClaimFleet.SETTINGS.tickMillis();
    assertTrue(claims.fleet().network().sent() - before <= 2 * ticks, "messages while following");
  }

  @Test
  public void followingArrivalIsGrantedTheKeyThatTheFirstReleases() {
    ClaimFleet claims = granted(34);
    final List<ClaimDecision> second = claims.claim("b", "key", FOLLOW_MILLIS);
    claims.run(FOLLOW_MILLIS / 2);
    claims.releaseNotRun("a", "key");
    claims.run(FOLLOW_MILLIS);
    assertEquals(second, List.of(new Granted()));
  }

  @Test
  public void followingArrivalReceivesClaimantLostWhenTheClaimantStops() {
    ClaimFleet claims = granted(35);
    final List<ClaimDecision> second = claims.claim("b", "key", FOLLOW_MILLIS);
    claims.run(FOLLOW_MILLIS / 2);
    claims.fleet().timers(new VmId("a")).pause();
    claims.run(ClaimFleet.SETTINGS.statusMillis() + 200);
    assertEquals(second, List.of(new MayHaveRun(Reason.CLAIMANT_LOST)));
  }

  private static ClaimFleet granted(long seed) {
    ClaimFleet claims = ClaimFleet.started(seed, SEVEN_VMS);
    assertEquals(claims.decide("a", "key"), new Granted());
    return claims;
  }
}
