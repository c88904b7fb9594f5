package org.ragworttide.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.testng.annotations.Test;

/** Tests when a failed request is sent again, and which outcome the caller receives. */
public final class ResendTest {
  private static final ScriptedUpstream.Script ANSWER = exchange -> exchange.json("{\"a\":1}");

  @Test
  public void pooledConnectionClosedAfterFirstByteMayHaveRunAndIsNotResent() throws IOException {
    try (PathFixture path = PathFixture.start(ANSWER)) {
      assertEquals(path.send(path.request("/stock")).statusCode(), 200);
      path.upstream(0).resetOnFirstByte();
      HttpResponse<String> response = path.send(path.request("/stock"));
      assertOutcome(response, 503, "may-have-run");
      assertEquals(path.upstream(0).firstBytes(), 1);
      assertEquals(path.upstream(0).connections(), 1);
    }
  }

  @Test
  public void bookingCutAfterItsFirstByteMayHaveRunAndArrivesOnce() throws IOException {
    try (PathFixture path = PathFixture.start(ANSWER, ANSWER)) {
      path.upstream(0).resetOnFirstByte();
      path.upstream(1).resetOnFirstByte();
      assertOutcome(path.send(booking(path)), 502, "may-have-run");
      assertOutcome(path.send(booking(path)), 409, "may-have-run");
      assertEquals(path.upstream(0).firstBytes() + path.upstream(1).firstBytes(), 1);
    }
  }

  @Test
  public void bookingWhoseAnswerIsCutMayHaveRun() throws IOException {
    ScriptedUpstream.Script cut =
        exchange -> {
          exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
          exchange.reset();
        };
    try (PathFixture path = PathFixture.start(cut, cut)) {
      assertOutcome(path.send(booking(path)), 502, "may-have-run");
      assertEquals(path.arrivals().size(), 1);
    }
  }

  @Test
  public void unreachableUpstreamMeansNotRun() throws IOException {
    try (PathFixture path = PathFixture.start(ANSWER)) {
      path.upstream(0).close();
      assertOutcome(path.send(path.request("/stock")), 503, "not-run");
      assertOutcome(path.send(booking(path)), 503, "not-run");
    }
  }

  @Test
  public void bookingGoesToAnotherUpstreamWhenTheFirstIsUnreachable() throws IOException {
    try (PathFixture path = PathFixture.start(ANSWER, ANSWER)) {
      path.upstream(0).close();
      assertEquals(path.send(booking(path)).statusCode(), 200);
    }
  }

  @Test
  public void idempotentRequestIsRetriedOnAnotherUpstream() throws IOException {
    try (PathFixture path = PathFixture.start(ANSWER, ANSWER)) {
      path.upstream(0).resetOnFirstByte();
      for (int i = 0; i < 2; i++) {
        assertEquals(path.send(path.request("/stock")).statusCode(), 200);
      }
      assertTrue(path.upstream(0).firstBytes() > 0);
    }
  }

  @Test
  public void onlyIdempotentRequestsAreRetriedAfterBusyUpstream() throws IOException {
    ScriptedUpstream.Script busy = exchange -> exchange.whole(503, "text/plain", "busy");
    try (PathFixture path = PathFixture.start(busy, ANSWER)) {
      assertEquals(path.send(path.request("/stock")).statusCode(), 200);
      assertEquals(path.send(booking(path)).statusCode(), 503);
      assertEquals(path.upstream(1).received().size(), 1);
    }
  }

  @Test
  public void withoutRetryBudgetNoRequestIsRetried() throws IOException {
    try (PathFixture path = PathFixture.startWithoutRetries(ANSWER, ANSWER)) {
      path.upstream(0).resetOnFirstByte();
      path.upstream(1).resetOnFirstByte();
      assertOutcome(path.send(path.request("/stock")), 502, "may-have-run");
      assertEquals(path.upstream(0).firstBytes() + path.upstream(1).firstBytes(), 1);
    }
  }

  @Test
  public void redirectIsNeitherFollowedNorRelayed() throws IOException {
    try (PathFixture path =
        PathFixture.start(
            exchange ->
                exchange.write(
                    "HTTP/1.1 307 X\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"))) {
      HttpResponse<String> response = path.send(path.request("/stock"));
      assertOutcome(response, 502, "may-have-run");
      assertTrue(response.headers().firstValue("Location").isEmpty());
      assertEquals(path.arrivals().size(), 1);
    }
  }

  private static HttpRequest.Builder booking(PathFixture path) {
    return path.post("/bookings", "{}").header("Idempotency-Key", "k-1");
  }

  private static void assertOutcome(HttpResponse<String> response, int status, String outcome) {
    assertEquals(response.statusCode(), status, response.body());
    assertTrue(response.body().contains("\"outcome\":\"" + outcome + "\""), response.body());
  }
}
