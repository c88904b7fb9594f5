package org.ragworttide.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Tests the path of chat and service requests without failures of upstreams. */
public final class PathTest {

  @Test
  public void streamIsRelayedEventByEvent() throws IOException {
    CountDownLatch firstRead = new CountDownLatch(1);
    try (PathFixture path =
        PathFixture.start(
            exchange -> {
              exchange.streamHead();
              exchange.event("{\"n\":1}");
              await(firstRead);
              exchange.event("{\"n\":2}");
              exchange.endStream();
            })) {
      RawCaller caller = new RawCaller(path.http.callerAddress());
      caller.post(PathFixture.CHAT, PathFixture.STREAMED_CHAT, "Chat-Id: c1");
      String start = caller.readUntil("{\"n\":1}\n\n");
      firstRead.countDown();
      String rest = caller.readUntil("[DONE]\n\n");
      assertTrue(start.contains("200 OK") && start.contains("Chat-Id: c1"), start);
      assertTrue(rest.contains("{\"n\":2}"), rest);
    }
  }

  @Test
  public void wholeChatIsRelayed() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{\"a\":1}"))) {
      HttpResponse<String> response =
          path.send(path.post(PathFixture.CHAT, PathFixture.WHOLE_CHAT));
      assertEquals(response.statusCode(), 200);
      assertEquals(response.body(), "{\"a\":1}");
      assertTrue(response.headers().firstValue("Request-Id").isPresent());
      assertEquals(path.placement.inFlight(PathFixture.ENGINE), 0);
    }
  }

  @Test
  public void openRouteNeedsNoKey() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{}"))) {
      HttpResponse<String> response =
          path.send(path.request("/hours?day=1").setHeader("Authorization", "Bearer nobody"));
      assertEquals(response.statusCode(), 200);
      assertEquals(path.arrivals().getFirst().line(), "GET /hours?day=1 HTTP/1.1");
    }
  }

  @Test
  public void wrongAndWithdrawnKeysAreRefused() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{}"))) {
      for (String key : new String[] {"wrong", "old-key", ""}) {
        HttpResponse<String> response =
            path.send(path.request("/stock").setHeader("Authorization", "Bearer " + key));
        assertEquals(response.statusCode(), 401);
        assertTrue(response.body().contains("\"outcome\":\"not-run\""), response.body());
        assertEquals(response.headers().firstValue("WWW-Authenticate").orElse(""), "Bearer");
      }
      assertEquals(path.arrivals().size(), 0);
    }
  }

  @Test
  public void bookingSentTwiceRunsOnce() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{\"booking\":1}"))) {
      HttpResponse<String> first = path.send(booking(path));
      HttpResponse<String> second = path.send(booking(path));
      assertEquals(second.body(), first.body());
      assertEquals(second.headers().firstValue("Idempotent-Replayed").orElse(""), "true");
      assertEquals(path.arrivals().size(), 1);
    }
  }

  @Test
  public void bookingSentTwiceConcurrentlyRunsOnce() throws IOException {
    CountDownLatch answer = new CountDownLatch(1);
    try (PathFixture path =
        PathFixture.start(
            exchange -> {
              await(answer);
              exchange.json("{\"booking\":1}");
            })) {
      CompletableFuture<HttpResponse<String>> one = path.sendAsync(booking(path));
      CompletableFuture<HttpResponse<String>> two = path.sendAsync(booking(path));
      Object refused = CompletableFuture.anyOf(one, two).join();
      answer.countDown();
      assertEquals(((HttpResponse<?>) refused).statusCode(), 409);
      assertEquals(one.join().statusCode() + two.join().statusCode(), 200 + 409);
      assertEquals(path.arrivals().size(), 1);
    }
  }

  @Test
  public void idempotencyKeyReusedForAnotherRequestIsRefused() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{\"booking\":1}"))) {
      assertEquals(path.send(booking(path)).statusCode(), 200);
      HttpResponse<String> other =
          path.send(path.post("/bookings", "{\"van\":2}").header("Idempotency-Key", "k-1"));
      assertEquals(other.statusCode(), 422);
      assertTrue(other.body().contains("idempotency-key-reused"), other.body());
      assertEquals(path.arrivals().size(), 1);
    }
  }

  @Test
  public void bookingWithoutKeyIsRefused() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{}"))) {
      HttpResponse<String> response = path.send(path.post("/bookings", "{}"));
      assertEquals(response.statusCode(), 400);
      assertTrue(response.body().contains("idempotency-key-missing"), response.body());
    }
  }

  @Test
  public void refusalOverTheRateHasRetryAfterHeader() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{}"))) {
      for (int expected : new int[] {200, 429}) {
        HttpResponse<String> response =
            path.send(path.request("/stock").setHeader("Authorization", "Bearer slow-key"));
        assertEquals(response.statusCode(), expected);
        assertEquals(response.headers().firstValue("Retry-After").isPresent(), expected == 429);
      }
    }
  }

  private static java.net.http.HttpRequest.Builder booking(PathFixture path) {
    return path.post("/bookings", "{\"van\":1}").header("Idempotency-Key", "k-1");
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
