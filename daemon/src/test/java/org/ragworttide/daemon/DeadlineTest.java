package org.ragworttide.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/**
 * Tests that deadlines limit requests and that the caller receives the outcome after a deadline.
 */
public final class DeadlineTest {
  private static final int MAX_REPEATS = 1_000;

  @Test
  public void remainingTimeIsSentToTheUpstream() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{}"))) {
      path.send(path.request("/stock").header("Request-Timeout-Ms", "5000"));
      path.send(path.request("/stock").header("Request-Timeout-Ms", "999999"));
      assertTrue(remaining(path, 0) <= 5_000 && remaining(path, 0) > 0);
      assertTrue(remaining(path, 1) <= 10_000 && remaining(path, 1) > 5_000);
    }
  }

  @Test
  public void silentUpstreamGives504WithTheOutcome() throws IOException {
    try (PathFixture path = PathFixture.start(ScriptedUpstream.Exchange::awaitDisconnect)) {
      HttpResponse<String> response =
          path.send(path.request("/stock").header("Request-Timeout-Ms", "300"));
      assertEquals(response.statusCode(), 504);
      assertTrue(response.body().contains("may-have-run"), response.body());
    }
  }

  @Test
  public void bookingAnsweredAfterItsDeadlineIsReplayed() throws IOException {
    CountDownLatch late = new CountDownLatch(1);
    try (PathFixture path =
        PathFixture.start(
            exchange -> {
              await(late);
              exchange.json("{\"booking\":1}");
            })) {
      HttpResponse<String> first = path.send(booking(path, "300"));
      late.countDown();
      HttpResponse<String> second = path.send(booking(path, "5000"));
      for (int i = 0; second.statusCode() == 409 && i < MAX_REPEATS; i++) {
        second = path.send(booking(path, "5000"));
      }
      assertEquals(first.statusCode(), 504);
      assertTrue(first.body().contains("may-have-run"), first.body());
      assertEquals(second.body(), "{\"booking\":1}");
      assertEquals(path.arrivals().size(), 1);
    }
  }

  @Test
  public void malformedDeadlineIsRefused() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{}"))) {
      for (String value : new String[] {"0", "-1", "soon", "99999999999999999999", "1.5"}) {
        HttpResponse<String> response =
            path.send(path.request("/stock").header("Request-Timeout-Ms", value));
        assertEquals(response.statusCode(), 400, value);
      }
    }
  }

  private static HttpRequest.Builder booking(PathFixture path, String timeoutMillis) {
    return path.post("/bookings", "{}")
        .header("Idempotency-Key", "k-1")
        .header("Request-Timeout-Ms", timeoutMillis);
  }

  private static long remaining(PathFixture path, int index) {
    return Long.parseLong(path.arrivals().get(index).headers().get("Request-Timeout-Ms"));
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
