package org.ragworttide.daemon.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests that no booking runs twice when all daemon processes restart at once. */
public class TotalRestartTest {
  private static final int RETENTION_SECONDS = 30;
  private static final int REPEAT_SECONDS = 20;

  @Test
  public void bookingRunsOnceAcrossTheRestartOfAllDaemons() throws Exception {
    try (DaemonProcesses fleet = new DaemonProcesses()) {
      int bookings = fleet.fakes().bookings().port();
      fleet.publish(1, TestDocuments.configuration(1, RETENTION_SECONDS, bookings, false));
      fleet.awaitFirstBooking();
      final long firstNanos = System.nanoTime();
      assertEquals(fleet.book(0, "kept").join().status(), 201);
      for (int daemon = 0; daemon < 3; daemon++) {
        fleet.kill(daemon);
      }
      for (int daemon = 0; daemon < 3; daemon++) {
        fleet.restart(daemon);
      }
      int repeats = 0;
      // After the retention period a key may run again, so the last repeat must be decided before
      // its end.
      while (secondsSince(firstNanos) < REPEAT_SECONDS) {
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
