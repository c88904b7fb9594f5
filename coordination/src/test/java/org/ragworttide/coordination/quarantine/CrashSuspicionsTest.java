package org.ragworttide.coordination.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests suspects that crash upstreams and upstreams that crash for other reasons. */
public class CrashSuspicionsTest {
  private static final Suspect CONTENT = Suspect.ofContent(77);
  private static final Suspect OTHER_CONTENT = Suspect.ofContent(78_000);
  private static final Suspect PART = Suspect.ofPromptPart(77);
  private static final Suspect POPULAR_PART = Suspect.ofPromptPart(78_000);
  private static final Suspect SESSION = Suspect.ofPromptPart(4_000_000);
  private static final long NOW = 1_000;
  private static final long MINUTE = 60_000;

  private static CrashSuspicions suspicions() {
    return new CrashSuspicions(() -> 1, new SplittableRandom(1));
  }

  /** Crashes an upstream with a request that is sent at the time and breaks off 100 ms later. */
  private static void crash(
      CrashSuspicions suspicions, List<Suspect> suspects, int upstream, long sentAtMillis) {
    suspicions.recordBrokenAnswer(suspects, upstream, sentAtMillis, sentAtMillis + 100);
    suspicions.recordUpstreamGone(upstream, sentAtMillis + 110);
  }

  private static boolean isHeldBack(CrashSuspicions suspicions, Suspect suspect, long nowMillis) {
    return suspicions.admit(List.of(suspect), nowMillis) instanceof Admission.HeldBack;
  }

  private static boolean isTrial(CrashSuspicions suspicions, Suspect suspect, long nowMillis) {
    return suspicions.admit(List.of(suspect), nowMillis) instanceof Admission.Trial;
  }

  private static void tell(CrashSuspicions from, CrashSuspicions to, long nowMillis) {
    SuspicionStatement statement = from.nextStatement(nowMillis);
    statement.reports().forEach(report -> to.recordReport(report, nowMillis));
    statement.clearances().forEach(to::recordClearance);
  }

  @Test
  public void requestThatCrashedTwoUpstreamsIsQuarantined() {
    CrashSuspicions suspicions = suspicions();
    crash(suspicions, List.of(CONTENT), 1, NOW);
    assertFalse(isHeldBack(suspicions, CONTENT, NOW + 200));
    crash(suspicions, List.of(CONTENT), 2, NOW + 1_000);
    assertTrue(isHeldBack(suspicions, CONTENT, NOW + 1_200));
    assertFalse(isHeldBack(suspicions, OTHER_CONTENT, NOW + 1_200));
  }

  @Test
  public void partThatCrashedThreeUpstreamsInDifferentRequestsIsQuarantined() {
    CrashSuspicions suspicions = suspicions();
    for (int upstream = 1; upstream <= 3; upstream++) {
      assertFalse(isHeldBack(suspicions, PART, NOW + 1_000 * upstream));
      Suspect content = Suspect.ofContent(1_000L * upstream);
      crash(suspicions, List.of(PART, content), upstream, NOW + 1_000 * upstream);
      assertFalse(isHeldBack(suspicions, content, NOW + 1_000 * upstream + 200));
    }
    assertTrue(isHeldBack(suspicions, PART, NOW + 4_000));
  }

  @Test
  public void popularPartBesideTheCrashingOneStaysInUse() {
    CrashSuspicions suspicions = suspicions();
    for (int upstream = 1; upstream <= 5; upstream++) {
      crash(suspicions, List.of(POPULAR_PART, PART), upstream, NOW + 1_000 * upstream);
      suspicions.recordAnswer(List.of(POPULAR_PART), NOW + 1_000 * upstream + 500);
    }
    assertTrue(isHeldBack(suspicions, PART, NOW + 6_000));
    assertFalse(isHeldBack(suspicions, POPULAR_PART, NOW + 6_000));
  }

  @Test
  public void partAnsweredShortlyBeforeCrashIsNotSuspected() {
    CrashSuspicions suspicions = suspicions();
    suspicions.recordAnswer(List.of(POPULAR_PART), NOW);
    for (int upstream = 1; upstream <= 5; upstream++) {
      crash(suspicions, List.of(POPULAR_PART), upstream, NOW + 1_000 * upstream);
    }
    assertTrue(suspicions.isEmpty());
  }

  @Test
  public void partThatWasSoundIsQuarantinedWhenItBeginsToCrashUpstreams() {
    CrashSuspicions suspicions = suspicions();
    suspicions.recordAnswer(List.of(PART), NOW);
    for (int upstream = 1; upstream <= 3; upstream++) {
      crash(suspicions, List.of(PART), upstream, NOW + MINUTE / 2 + 1_000 * upstream);
    }
    assertTrue(isHeldBack(suspicions, PART, NOW + MINUTE / 2 + 4_000));
  }

  @Test
  public void upstreamsThatFailTogetherCountAsOneCrash() {
    CrashSuspicions suspicions = suspicions();
    for (int upstream = 0; upstream < 6; upstream++) {
      suspicions.recordBrokenAnswer(
          List.of(CONTENT, PART), upstream, NOW + 10 * upstream, NOW + 100);
      suspicions.recordUpstreamGone(upstream, NOW + 150 + 50 * upstream);
    }
    assertFalse(isHeldBack(suspicions, CONTENT, NOW + 500));
    assertFalse(isHeldBack(suspicions, PART, NOW + 500));
  }

  @Test
  public void brokenAnswersWithoutCrashRaiseNoSuspicion() {
    CrashSuspicions suspicions = suspicions();
    for (int upstream = 0; upstream < 5; upstream++) {
      suspicions.recordBrokenAnswer(List.of(CONTENT, PART), upstream, NOW, NOW + 1);
    }
    assertFalse(isHeldBack(suspicions, CONTENT, NOW + 1));
    assertTrue(suspicions.isEmpty());
  }

  @Test
  public void upstreamThatStillListensHasNotCrashed() {
    CrashSuspicions suspicions = suspicions();
    suspicions.recordBrokenAnswer(List.of(CONTENT), 1, NOW, NOW + 1);
    suspicions.recordUpstreamAlive(1);
    suspicions.recordUpstreamGone(1, NOW + 1_000);
    assertTrue(suspicions.isEmpty());
  }

  @Test
  public void upstreamThatIsGoneLaterDoesNotCountAsCrash() {
    CrashSuspicions suspicions = suspicions();
    suspicions.recordBrokenAnswer(List.of(CONTENT), 1, NOW, NOW);
    suspicions.recordUpstreamGone(1, NOW + 5_000);
    assertTrue(suspicions.isEmpty());
  }

  @Test
  public void crashCountsOnceHoweverOftenItIsReported() {
    CrashSuspicions suspicions = suspicions();
    crash(suspicions, List.of(CONTENT), 1, NOW);
    for (int i = 1; i <= 2; i++) {
      CrashReport repeated = new CrashReport(Set.of(CONTENT), 1, NOW + 110 * i, NOW + 120 * i);
      assertEquals(suspicions.recordReport(repeated, NOW + 300), Optional.empty());
    }
    assertFalse(isHeldBack(suspicions, CONTENT, NOW + 400));
  }

  @Test
  public void crashesReportedByOtherVmsCount() {
    CrashSuspicions other = suspicions();
    crash(other, List.of(CONTENT), 2, NOW);
    CrashSuspicions suspicions = suspicions();
    crash(suspicions, List.of(CONTENT), 1, NOW + 200);
    tell(other, suspicions, NOW + 300);
    assertTrue(isHeldBack(suspicions, CONTENT, NOW + 400));
  }

  @Test
  public void vmPassesOnWhatItWasTold() {
    CrashSuspicions first = suspicions();
    crash(first, List.of(CONTENT), 1, NOW);
    crash(first, List.of(CONTENT), 2, NOW + 200);
    CrashSuspicions second = suspicions();
    tell(first, second, NOW + 400);
    CrashSuspicions third = suspicions();
    tell(second, third, NOW + 500);
    assertTrue(isHeldBack(third, CONTENT, NOW + 600));
    second.recordAnswer(List.of(CONTENT), NOW + 700);
    tell(second, third, NOW + 800);
    assertFalse(isHeldBack(third, CONTENT, NOW + 900));
    assertTrue(third.isEmpty());
  }

  @Test
  public void vmThatStartsLateLearnsOfQuarantine() {
    CrashSuspicions old = suspicions();
    crash(old, List.of(CONTENT), 1, NOW);
    crash(old, List.of(CONTENT), 2, NOW + 200);
    for (long at = NOW + 400; at < NOW + 30_000; at += 150) {
      old.nextStatement(at);
    }
    CrashSuspicions started = suspicions();
    tell(old, started, NOW + 30_000);
    assertTrue(isHeldBack(started, CONTENT, NOW + 30_000));
  }

  @Test
  public void requestMayRunAgainAfterTheQuarantine() {
    CrashSuspicions suspicions = suspicions();
    crash(suspicions, List.of(CONTENT), 1, NOW);
    crash(suspicions, List.of(CONTENT), 2, NOW + 200);
    assertTrue(isHeldBack(suspicions, CONTENT, NOW + 59_000));
    assertTrue(isTrial(suspicions, CONTENT, NOW + 61_000));
  }

  @Test
  public void trialDecidesWhetherQuarantineGoesOn() {
    CrashSuspicions suspicions = suspicions();
    crash(suspicions, List.of(CONTENT), 1, NOW);
    crash(suspicions, List.of(CONTENT), 2, NOW + 200);
    suspicions.admit(List.of(CONTENT), NOW + 61_000);
    assertTrue(isHeldBack(suspicions, CONTENT, NOW + 61_010), "a second trial at the same time");
    crash(suspicions, List.of(CONTENT), 3, NOW + 61_000);
    assertTrue(isHeldBack(suspicions, CONTENT, NOW + 120_000));
    assertTrue(isTrial(suspicions, CONTENT, NOW + 122_000));
    suspicions.recordAnswer(List.of(CONTENT), NOW + 122_300);
    assertEquals(suspicions.admit(List.of(CONTENT), NOW + 122_400), new Admission.Admitted());
  }

  @Test
  public void soundRequestsOfTheSessionOfCrashingRequestsAreAdmitted() {
    CrashSuspicions suspicions = suspicions();
    for (int upstream = 1; upstream <= 3; upstream++) {
      Suspect content = Suspect.ofContent(1_000L * upstream);
      crash(suspicions, List.of(SESSION, PART, content), upstream, NOW + 1_000 * upstream);
    }
    assertTrue(suspicions.admit(List.of(SESSION, PART), NOW + 5_000) instanceof Admission.HeldBack);
    assertFalse(isHeldBack(suspicions, SESSION, NOW + 5_000));
    assertFalse(isHeldBack(suspicions, PART, NOW + 5_000));
  }

  @Test
  public void soundRequestBesideCrashingOneDoesNotBlameItsSession() {
    CrashSuspicions suspicions = suspicions();
    crash(suspicions, List.of(SESSION, OTHER_CONTENT), 1, NOW + 1_000);
    for (int upstream = 1; upstream <= 3; upstream++) {
      crash(suspicions, List.of(SESSION, PART), upstream, NOW + 1_000 * upstream);
    }
    assertTrue(suspicions.admit(List.of(SESSION, PART), NOW + 5_000) instanceof Admission.HeldBack);
    assertFalse(isHeldBack(suspicions, SESSION, NOW + 5_000));
  }

  @Test
  public void sessionIsBlamedOnceItsOtherRequestsCrashUpstreamsToo() {
    CrashSuspicions suspicions = suspicions();
    for (int upstream = 1; upstream <= 3; upstream++) {
      crash(suspicions, List.of(SESSION, PART), upstream, NOW + 1_000 * upstream);
    }
    crash(suspicions, List.of(SESSION), 4, NOW + 5_000);
    assertTrue(isHeldBack(suspicions, SESSION, NOW + 6_000));
    assertFalse(isHeldBack(suspicions, PART, NOW + 6_000));
  }

  @Test
  public void twoCrashingPartsAreBothQuarantined() {
    CrashSuspicions suspicions = suspicions();
    for (int upstream = 1; upstream <= 6; upstream++) {
      Suspect part = upstream % 2 == 0 ? PART : SESSION;
      crash(suspicions, List.of(POPULAR_PART, part), upstream, NOW + 1_000 * upstream);
      suspicions.recordAnswer(List.of(POPULAR_PART), NOW + 1_000 * upstream + 500);
    }
    assertTrue(isHeldBack(suspicions, PART, NOW + 8_000));
    assertTrue(isHeldBack(suspicions, SESSION, NOW + 8_000));
    assertFalse(isHeldBack(suspicions, POPULAR_PART, NOW + 8_000));
  }

  @Test
  public void evidenceForQuarantineGoesFirstInStormOfCrashes() {
    CrashSuspicions suspicions = suspicions();
    for (int i = 0; i < 1_000; i++) {
      crash(suspicions, List.of(Suspect.ofContent(1_000L * i)), 10 + i, NOW + 400);
    }
    for (int upstream = 1; upstream <= 3; upstream++) {
      crash(suspicions, List.of(PART), upstream, NOW + 1_000 * upstream);
    }
    for (int i = 0; i < 1_000; i++) {
      crash(suspicions, List.of(Suspect.ofContent(2_000_000L + 1_000L * i)), 2_000 + i, NOW);
    }
    assertTrue(isHeldBack(suspicions, PART, NOW + 5_000));
    List<CrashReport> reports = suspicions.nextStatement(NOW + 5_000).reports();
    assertTrue(reports.size() <= 5, reports.size() + " reports");
    assertEquals(reports.stream().filter(it -> it.suspects().contains(PART)).count(), 3);
  }
}
