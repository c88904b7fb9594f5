package org.ragworttide.coordination.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests requests that crash upstreams and upstreams that crash for other reasons. */
public class CrashSuspicionsTest {
  private static final long REQUEST = 77;
  private static final long NOW = 1_000;

  private static void crash(
      CrashSuspicions suspicions, long request, int upstream, long nowMillis) {
    suspicions.recordBrokenAnswer(request, upstream, nowMillis);
    suspicions.recordUpstreamGone(upstream, nowMillis + 100);
  }

  @Test
  public void requestThatCrashedTwoUpstreamsIsQuarantined() {
    CrashSuspicions suspicions = new CrashSuspicions();
    crash(suspicions, REQUEST, 1, NOW);
    assertFalse(suspicions.isQuarantined(REQUEST, NOW + 200));
    crash(suspicions, REQUEST, 2, NOW + 1_000);
    assertTrue(suspicions.isQuarantined(REQUEST, NOW + 1_200));
    assertFalse(suspicions.isQuarantined(REQUEST + 1, NOW + 1_200));
  }

  @Test
  public void brokenAnswersWithoutCrashRaiseNoSuspicion() {
    CrashSuspicions suspicions = new CrashSuspicions();
    for (int upstream = 0; upstream < 5; upstream++) {
      suspicions.recordBrokenAnswer(REQUEST, upstream, NOW);
    }
    assertFalse(suspicions.isQuarantined(REQUEST, NOW + 1));
    assertTrue(suspicions.isEmpty());
  }

  @Test
  public void upstreamThatIsGoneLaterDoesNotCountAsCrash() {
    CrashSuspicions suspicions = new CrashSuspicions();
    suspicions.recordBrokenAnswer(REQUEST, 1, NOW);
    suspicions.recordUpstreamGone(1, NOW + 5_000);
    assertTrue(suspicions.isEmpty());
  }

  @Test
  public void crashCountsOnceHoweverOftenItIsReported() {
    CrashSuspicions suspicions = new CrashSuspicions();
    crash(suspicions, REQUEST, 1, NOW);
    suspicions.recordReportedCrash(new CrashSuspicions.Crash(REQUEST, 1), NOW + 200);
    suspicions.recordReportedCrash(new CrashSuspicions.Crash(REQUEST, 1), NOW + 300);
    assertFalse(suspicions.isQuarantined(REQUEST, NOW + 400));
  }

  @Test
  public void crashesReportedByOtherVmsCount() {
    CrashSuspicions other = new CrashSuspicions();
    crash(other, REQUEST, 2, NOW);
    List<CrashSuspicions.Crash> reported = other.drainNewCrashes();
    assertEquals(reported, List.of(new CrashSuspicions.Crash(REQUEST, 2)));
    assertEquals(other.drainNewCrashes(), List.of());
    CrashSuspicions suspicions = new CrashSuspicions();
    crash(suspicions, REQUEST, 1, NOW);
    reported.forEach(crash -> suspicions.recordReportedCrash(crash, NOW + 300));
    assertTrue(suspicions.isQuarantined(REQUEST, NOW + 400));
  }

  @Test
  public void requestMayRunAgainAfterTheQuarantine() {
    CrashSuspicions suspicions = new CrashSuspicions();
    crash(suspicions, REQUEST, 1, NOW);
    crash(suspicions, REQUEST, 2, NOW);
    assertTrue(suspicions.isQuarantined(REQUEST, NOW + 59_000));
    assertFalse(suspicions.isQuarantined(REQUEST, NOW + 61_000));
  }
}
