package org.ragworttide.coordination.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragworttide.coordination.claims.ClaimDecision.Granted;
import org.ragworttide.coordination.claims.ClaimDecision.MayHaveRun;
import org.ragworttide.coordination.claims.ClaimDecision.NotRun;
import org.ragworttide.coordination.claims.ClaimDecision.Reason;
import org.ragworttide.coordination.claims.ClaimDecision.Running;
import org.ragworttide.coordination.group.GroupSize;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.testng.annotations.Test;

/** Tests the decisions on requests that must run at most once. */
public class ClaimManagerTest {
  private static final String[] SEVEN_VMS = {"a", "b", "c", "d", "e", "f", "g"};

  @Test
  public void firstArrivalIsGranted() {
    ClaimFleet claims = ClaimFleet.started(1, SEVEN_VMS);
    assertEquals(claims.decide("a", "key"), new Granted());
  }

  @Test
  public void laterArrivalsReceiveRunningWithTheClaimant() {
    ClaimFleet claims = ClaimFleet.started(2, SEVEN_VMS);
    claims.decide("a", "key");
    assertEquals(claims.decide("b", "key"), new Running(new VmId("a")));
    assertEquals(claims.decide("a", "key"), new Running(new VmId("a")));
  }

  @Test
  public void simultaneousArrivalsAtOneDaemonRunOnce() {
    ClaimFleet claims = ClaimFleet.started(3, SEVEN_VMS);
    List<ClaimDecision> first = claims.claim("a", "key");
    List<ClaimDecision> second = claims.claim("a", "key");
    claims.run(100);
    assertEquals(first, List.of(new Granted()));
    assertEquals(second, List.of(new Running(new VmId("a"))));
  }

  @Test
  public void laterArrivalsReceiveTheAnswerOfTheFirst() {
    ClaimFleet claims = ClaimFleet.started(4, SEVEN_VMS);
    claims.decide("a", "key");
    claims.complete("a", "key");
    assertTrue(claims.decide("b", "key") instanceof ClaimDecision.Completed);
  }

  @Test
  public void arrivalAfterRestartOfTheClaimantMayHaveRun() {
    ClaimFleet claims = ClaimFleet.started(5, SEVEN_VMS);
    claims.decide("a", "key");
    claims.fleet().restart(new VmId("a"), 1);
    assertTrue(claims.decide("b", "key") instanceof MayHaveRun);
    assertTrue(claims.decide("a", "key") instanceof MayHaveRun);
  }

  @Test
  public void arrivalAfterRemovalOfTheClaimantMayHaveRun() {
    ClaimFleet claims = ClaimFleet.started(6, SEVEN_VMS);
    claims.decide("a", "key");
    claims.fleet().publish("b", "c", "d", "e", "f", "g");
    claims.fleet().adoptAll();
    assertEquals(claims.decide("b", "key"), new MayHaveRun(Reason.CLAIMANT_LOST));
  }

  @Test
  public void arrivalWhileTheClaimantIsPausedMayHaveRun() {
    ClaimFleet claims = ClaimFleet.started(7, SEVEN_VMS);
    claims.decide("a", "key");
    claims.fleet().timers(new VmId("a")).pause();
    assertEquals(claims.decide("b", "key"), new MayHaveRun(Reason.CLAIMANT_LOST));
    claims.fleet().timers(new VmId("a")).resume();
    assertEquals(claims.decide("b", "key"), new Running(new VmId("a")));
  }

  @Test
  public void releasedRequestIsGrantedToTheNextArrival() {
    ClaimFleet claims = ClaimFleet.started(8, SEVEN_VMS);
    claims.decide("a", "key");
    claims.releaseNotRun("a", "key");
    claims.run(50);
    assertEquals(claims.decide("b", "key"), new Granted());
  }

  @Test
  public void statusRequestRepeatsLostRelease() {
    ClaimFleet claims = ClaimFleet.started(9, SEVEN_VMS);
    claims.decide("a", "key");
    claims.fleet().network().faults(1, 0, 1);
    claims.releaseNotRun("a", "key");
    claims.run(50);
    claims.fleet().network().faults(0, 0, 1);
    assertEquals(claims.decide("b", "key"), new Granted());
  }

  @Test
  public void unknownKeysAreRefusedForTheRetentionAfterRestartOfAllVms() {
    ClaimFleet claims = ClaimFleet.started(10, SEVEN_VMS);
    claims.decide("a", "key");
    claims.fleet().vms().forEach(vm -> claims.fleet().restart(vm, 1));
    assertEquals(claims.decide("b", "key"), new MayHaveRun(Reason.VOTERS_NOT_INFORMED));
    claims.run(ClaimFleet.RETENTION_MILLIS + 2_000);
    assertEquals(claims.decide("b", "other"), new Granted());
  }

  @Test
  public void cutOffClaimantIsNotGranted() {
    ClaimFleet claims = ClaimFleet.started(11, SEVEN_VMS);
    for (VmId vm : claims.fleet().vms()) {
      claims.fleet().network().cut(new VmId("a"), vm, true);
    }
    assertEquals(claims.decide("a", "key"), new MayHaveRun(Reason.TOO_FEW_VOTES));
    assertEquals(claims.decide("b", "key"), new Granted());
  }

  @Test
  public void fullVotersRefuseAsNotRun() {
    ClaimSettings small = new ClaimSettings(GroupSize.FIVE, 300, 3_000, 50, 4, 1_000, 0);
    ClaimFleet claims = new ClaimFleet(12, small, "a", "b", "c", "d", "e");
    claims.run(5_000);
    for (int i = 0; i < 4; i++) {
      assertEquals(claims.decide("a", "key" + i), new Granted());
    }
    assertEquals(claims.decide("a", "key4"), new NotRun(Reason.FULL));
  }

  @Test
  public void answersBeyondTheBoundAreDroppedAndTheirClaimsKept() {
    ClaimSettings small = new ClaimSettings(GroupSize.FIVE, 300, 3_000, 50, 100, 100, 10);
    ClaimFleet claims = new ClaimFleet(13, small, "a", "b", "c", "d", "e");
    claims.run(5_000);
    claims.decide("a", "key");
    claims
        .fleet()
        .stateMachine(new VmId("a"))
        .recordCompleted(new RequestKey("key"), new ClaimAnswer(new byte[11]));
    assertEquals(claims.fleet().stateMachine(new VmId("a")).answerBytesKept(), 0);
    assertEquals(claims.decide("a", "key"), new MayHaveRun(Reason.ANSWER_NOT_HELD));
  }
}
