package org.ragworttide.coordination.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which requests a VM that is being stopped accepts, and when it exits. */
public class StopAdmissionTest {
  private static final long[] DEADLINES_MILLIS = {600, 3_000, 5_000, 15_000, Long.MAX_VALUE};
  private static final long SHORT_MILLIS = 600;

  /** Grace periods in milliseconds. */
  @DataProvider
  public Object[][] gracePeriods() {
    return new Object[][] {{1_000L}, {2_000L}, {3_000L}, {8_000L}, {30_000L}};
  }

  @Test(dataProvider = "gracePeriods")
  public void finalAnswersPrecedeTheExitWhichPrecedesTheEndOfTheGracePeriod(long graceMillis) {
    StopAdmission admission = new StopAdmission(graceMillis);
    assertTrue(admission.admits(Long.MAX_VALUE));
    assertFalse(admission.isExitDue(graceMillis, false));
    admission.begin(0);
    long answers = 0;
    while (!admission.areFinalAnswersDue(answers)) {
      answers++;
    }
    long exit = answers;
    while (!admission.isExitDue(exit, true)) {
      exit++;
    }
    assertTrue(answers >= graceMillis * 5 / 6, "broken off before the last sixth: " + answers);
    assertTrue(exit > answers && exit < graceMillis, answers + ", " + exit);
    assertTrue(admission.admits(answers));
    assertFalse(admission.admits(answers + 1));
    assertTrue(admission.closesIdleConnections(answers));
  }

  @Test
  public void vmStaysWhileCallersMayBeRoutedToIt() {
    StopAdmission admission = new StopAdmission(8_000);
    admission.begin(0);
    assertFalse(admission.isExitDue(2_500, false));
    assertTrue(admission.isExitDue(3_000, false));
    assertFalse(admission.isExitDue(3_000, true));
  }

  @Test
  public void secondSignalDoesNotProlongTheStop() {
    StopAdmission admission = new StopAdmission(8_000);
    admission.begin(0);
    admission.begin(5_000);
    assertTrue(admission.isExitDue(7_900, true));
  }

  /** Numbers of VMs and grace periods in milliseconds. */
  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      {7, 8_000L}, {95, 8_000L}, {345, 8_000L}, {7, 1_000L}, {95, 2_000L}, {345, 3_000L}
    };
  }

  /** All VMs are stopped in turn; callers use kept connections until these are closed. */
  @Test(dataProvider = "fleets")
  public void rollingStopCutsNoRequestAndRefusesNoShortOneEarly(int vms, long graceMillis) {
    SplittableRandom random = new SplittableRandom(vms);
    int accepted = 0;
    int refusedShort = 0;
    for (int vm = 0; vm < vms; vm++) {
      long stopAtMillis = 4_000L * vm;
      StopAdmission admission = new StopAdmission(graceMillis);
      for (long now = stopAtMillis - 20_000; now < stopAtMillis + graceMillis; now++) {
        if (now == stopAtMillis) {
          admission.begin(now);
        }
        if (random.nextInt(20) > 0) {
          continue;
        }
        long deadlineMillis = DEADLINES_MILLIS[random.nextInt(DEADLINES_MILLIS.length)];
        long endsAtMillis =
            deadlineMillis == Long.MAX_VALUE ? Long.MAX_VALUE : now + deadlineMillis;
        boolean admitted = admission.admits(endsAtMillis);
        if (now >= stopAtMillis && admitted) {
          accepted++;
          assertFalse(admission.areFinalAnswersDue(endsAtMillis - 1), "cut at " + now);
        }
        boolean early = now - stopAtMillis < graceMillis * 3 / 4 - SHORT_MILLIS;
        if (early && !admitted && deadlineMillis == SHORT_MILLIS) {
          refusedShort++;
        }
      }
    }
    assertEquals(refusedShort, 0);
    assertTrue(accepted > vms, "accepted " + accepted);
  }
}
