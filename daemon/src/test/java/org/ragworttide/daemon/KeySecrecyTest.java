package org.ragworttide.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests that no upstream receives a caller's key or the headers of the caller's connection. */
public final class KeySecrecyTest {

  @Test
  public void keyInHeadersQueryOrCookieIsNotForwarded() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{}"))) {
      String query = "?a=1&key=hotel-key&api_key=hotel-key&b=hotel%2dkey&%6bey=x&c=2";
      HttpResponse<String> response =
          path.send(
              path.request("/stock" + query)
                  .header("Cookie", "key=hotel-key; a=1")
                  .header("X-Api-Key", "hotel-key")
                  .header("X-Note", "my key is hotel-key")
                  .header("X-Plain", "passes"));
      assertEquals(response.statusCode(), 200);
      ScriptedUpstream.Received received = path.arrivals().getFirst();
      assertEquals(received.line(), "GET /stock?a=1&c=2 HTTP/1.1");
      assertEquals(received.headers().get("X-Plain"), "passes");
      assertNoKey(received);
    }
  }

  @Test
  public void keyIsNotForwardedOnRetry() throws IOException {
    try (PathFixture path =
        PathFixture.start(
            exchange -> exchange.whole(503, "text/plain", "busy"), exchange -> exchange.reset())) {
      HttpResponse<String> response = path.send(path.request("/stock?key=hotel-key"));
      assertFalse(response.body().contains("hotel-key"));
      assertEquals(path.arrivals().size(), 2);
      path.arrivals().forEach(KeySecrecyTest::assertNoKey);
    }
  }

  @Test
  public void keyOnOpenRouteIsNotForwarded() throws IOException {
    try (PathFixture path = PathFixture.start(exchange -> exchange.json("{}"))) {
      assertEquals(path.send(path.request("/hours?key=hotel-key")).statusCode(), 200);
      assertEquals(
          path.send(
                  path.request("/hours")
                      .setHeader("Authorization", "Basic aG90ZWw6a2V5")
                      .header("Cookie", "key=another"))
              .statusCode(),
          200);
      path.arrivals().forEach(KeySecrecyTest::assertNoKey);
    }
  }

  @Test
  public void hopByHopHeadersAreNotForwarded() throws IOException {
    try (PathFixture path =
        PathFixture.start(
            exchange ->
                exchange.write(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Up\r\nX-Up: 1\r\n"
                        + "Keep-Alive: timeout=5\r\nX-End: 2\r\n\r\n{}"))) {
      RawCaller caller = new RawCaller(path.http.callerAddress());
      caller.post("/stock", "{}", "Connection: X-Hop", "X-Hop: 1", "TE: trailers", "X-End: 1");
      String answer = caller.readUntil("\r\n\r\n{}");
      assertTrue(answer.contains("X-End: 2"), answer);
      assertFalse(answer.contains("X-Up") || answer.contains("Keep-Alive"), answer);
      Map<String, String> headers = path.arrivals().getFirst().headers();
      assertEquals(headers.get("X-End"), "1");
      assertFalse(headers.containsKey("X-Hop") || headers.containsKey("TE"), headers.toString());
    }
  }

  private static void assertNoKey(ScriptedUpstream.Received received) {
    assertFalse(received.toString().contains("hotel"), received.toString());
    assertFalse(received.headers().containsKey("Authorization"), received.toString());
    assertFalse(received.headers().containsKey("Cookie"), received.toString());
  }
}
