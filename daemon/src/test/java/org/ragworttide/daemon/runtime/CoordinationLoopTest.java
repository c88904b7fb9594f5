package org.ragworttide.daemon.runtime;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Tests the timer service of the daemon. */
public class CoordinationLoopTest {
  private static final long PERIOD_MILLIS = 20;
  private static final int RUNS = 8;

  @Test
  public void periodsMissedDuringPauseDoNotRunLater() throws InterruptedException {
    List<Long> starts = new ArrayList<>();
    CountDownLatch done = new CountDownLatch(RUNS);
    try (CoordinationLoop loop = new CoordinationLoop(Throwable::printStackTrace)) {
      loop.every(
          PERIOD_MILLIS,
          () -> {
            starts.add(System.nanoTime());
            if (starts.size() == 1) {
              sleep(PERIOD_MILLIS * RUNS);
            }
            done.countDown();
          });
      done.await();
    }
    for (int i = 2; i < RUNS; i++) {
      long betweenNanos = starts.get(i) - starts.get(i - 1);
      assertTrue(betweenNanos >= PERIOD_MILLIS * 900_000, "runs " + betweenNanos + " ns apart");
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
