package org.ragworttide.daemon.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Restarts all daemon processes at once and checks that no booking runs again. */
public class TotalRestartTest {
  private static final int RETENTION_SECONDS = 30;
  private static final int REPEATS_UNTIL_SECONDS = 20;

  @Test
  public void bookingRunsOnceAcrossTheRestartOfAllDaemons() throws Exception {
    try (DaemonProcesses fleet = new DaemonProcesses()) {
      int bookings = fleet.fakes().bookings().port();
      fleet.publish(1, TestDocuments.configuration(1, RETENTION_SECONDS, bookings, false));
      fleet.awaitBookings();
      final long firstNanos = System.nanoTime();
      assertEquals(fleet.book(0, "kept").join().status(), 201);
      for (int daemon = 0; daemon < 3; daemon++) {
        fleet.kill(daemon);
      }
      for (int daemon = 0; daemon < 3; daemon++) {
        fleet.restart(daemon);
      }
      int repeats = 0;
      // Past the retention a key may run again, so the last repeat must be decided before.
      while (secondsSince(firstNanos) < REPEATS_UNTIL_SECONDS) {
        fleet.book(repeats++ % 3, "kept").join();
        DaemonProcesses.pause();
      }
      assertTrue(repeats > 0, "no repeat was sent");
      assertEquals(fleet.fakes().bookings().runs("kept"), 1);
    }
  }

  private static long secondsSince(long nanos) {
    return TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - nanos);
  }
}
