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
    suspicions.brokenOff(request, upstream, nowMillis);
    suspicions.gone(upstream, nowMillis + 100);
  }

  @Test
  public void requestThatCrashedTwoUpstreamsIsQuarantined() {
    CrashSuspicions suspicions = new CrashSuspicions();
    crash(suspicions, REQUEST, 1, NOW);
    assertFalse(suspicions.isHeldBack(REQUEST, NOW + 200));
    crash(suspicions, REQUEST, 2, NOW + 1_000);
    assertTrue(suspicions.isHeldBack(REQUEST, NOW + 1_200));
    assertFalse(suspicions.isHeldBack(REQUEST + 1, NOW + 1_200));
  }

  @Test
  public void brokenAnswersWithoutCrashRaiseNoSuspicion() {
    CrashSuspicions suspicions = new CrashSuspicions();
    for (int upstream = 0; upstream < 5; upstream++) {
      suspicions.brokenOff(REQUEST, upstream, NOW);
    }
    assertFalse(suspicions.isHeldBack(REQUEST, NOW + 1));
    assertTrue(suspicions.isEmpty());
  }

  @Test
  public void upstreamThatIsGoneLaterDoesNotCountAsCrash() {
    CrashSuspicions suspicions = new CrashSuspicions();
    suspicions.brokenOff(REQUEST, 1, NOW);
    suspicions.gone(1, NOW + 5_000);
    assertTrue(suspicions.isEmpty());
  }

  @Test
  public void crashCountsOnceHoweverOftenItIsReported() {
    CrashSuspicions suspicions = new CrashSuspicions();
    crash(suspicions, REQUEST, 1, NOW);
    suspicions.heard(new CrashSuspicions.Crash(REQUEST, 1), NOW + 200);
    suspicions.heard(new CrashSuspicions.Crash(REQUEST, 1), NOW + 300);
    assertFalse(suspicions.isHeldBack(REQUEST, NOW + 400));
  }

  @Test
  public void crashesReportedByOtherVmsCount() {
    CrashSuspicions other = new CrashSuspicions();
    crash(other, REQUEST, 2, NOW);
    List<CrashSuspicions.Crash> reported = other.takeNews();
    assertEquals(reported, List.of(new CrashSuspicions.Crash(REQUEST, 2)));
    assertEquals(other.takeNews(), List.of());
    CrashSuspicions suspicions = new CrashSuspicions();
    crash(suspicions, REQUEST, 1, NOW);
    reported.forEach(crash -> suspicions.heard(crash, NOW + 300));
    assertTrue(suspicions.isHeldBack(REQUEST, NOW + 400));
  }

  @Test
  public void requestMayRunAgainAfterTheQuarantine() {
    CrashSuspicions suspicions = new CrashSuspicions();
    crash(suspicions, REQUEST, 1, NOW);
    crash(suspicions, REQUEST, 2, NOW);
    assertTrue(suspicions.isHeldBack(REQUEST, NOW + 59_000));
    assertFalse(suspicions.isHeldBack(REQUEST, NOW + 61_000));
  }
}
