package org.ragworttide.daemon;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.ragworttide.daemon.caller.CallerSettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that malformed input is refused with a specific error and does not affect later requests.
 */
public final class BadInputTest {
  private static final ScriptedUpstream.Script ANSWER = exchange -> exchange.json("{}");

  /** Returns malformed request heads, with the status and code of the refusal. */
  @DataProvider
  public Object[][] heads() {
    String host = "Host: x\r\n";
    return new Object[][] {
      {"\u0001\u0002garbage\r\n\r\n", 400, "bad-request"},
      {"GET /stock\r\n\r\n", 400, "bad-request"},
      {"GET /stock HTTP/9.x\r\n" + host + "\r\n", 400, "bad-request"},
      {"GET /stock HTTP/1.1\r\n" + host + "Bad Name: 1\r\n\r\n", 400, "bad-request"},
      {"GET /stock HTTP/1.1\r\n" + host + "Content-Length: x\r\n\r\n", 400, "bad-request"},
      {"GET /" + "x".repeat(9_000) + " HTTP/1.1\r\n", 414, "target-too-long"},
      {"GET /stock HTTP/1.1\r\nX: " + "x".repeat(20_000) + "\r\n\r\n", 431, "headers-too-large"},
      {"GET http://x/stock HTTP/1.1\r\n" + host + "\r\n", 400, "bad-request"},
      {"GET /none HTTP/1.1\r\n" + host + "\r\n", 404, "route-unknown"},
      {"GET /hours?a=%zz HTTP/1.1\r\n" + host + "\r\n", 400, "bad-request"},
    };
  }

  @Test(dataProvider = "heads")
  public void badHeadIsRefused(String head, int status, String code) throws IOException {
    try (PathFixture path = PathFixture.start(ANSWER);
        RawCaller caller = new RawCaller(path.http.callerAddress())) {
      caller.write(head);
      String answer = caller.readUntil("}");
      assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
      assertTrue(answer.contains("\"code\":\"" + code + "\""), answer);
      assertTrue(answer.contains("\"outcome\":\"not-run\""), answer);
      assertTrue(answer.contains("application/problem+json"), answer);
      assertEquals(path.send(path.request("/stock")).statusCode(), 200);
      assertEquals(path.arrivals().size(), 1);
    }
  }

  /** Returns bodies that are not valid chat requests. */
  @DataProvider
  public Object[][] bodies() {
    return new Object[][] {
      {new byte[0]},
      {"{".getBytes()},
      {"[]".getBytes()},
      {"{\"model\":\"m\"}".getBytes()},
      {"{\"model\":1,\"messages\":[]}".getBytes()},
      {"{\"model\":\"m\",\"messages\":[],\"stream\":\"yes\"}".getBytes()},
      {"{\"model\":\"m\",\"model\":\"n\",\"messages\":[]}".getBytes()},
      {"{\"model\":\"m\",\"messages\":[]} {}".getBytes()},
      {"{\"model\":\"m\",\"messages\":[],\"x\":\"ÿ\"}".getBytes(ISO_8859_1)},
      {("{\"model\":\"m\",\"messages\":" + "[".repeat(100_000)).getBytes()},
    };
  }

  @Test(dataProvider = "bodies")
  public void bodyThatIsNotValidChatRequestIsRefused(byte[] body) throws IOException {
    try (PathFixture path = PathFixture.start(ANSWER)) {
      HttpResponse<String> response =
          path.send(
              path.request(PathFixture.CHAT).POST(HttpRequest.BodyPublishers.ofByteArray(body)));
      assertEquals(response.statusCode(), 400, response.body());
      assertTrue(response.body().contains("\"code\":\"bad-body\""), response.body());
      assertEquals(path.arrivals().size(), 0);
    }
  }

  @Test
  public void chatRequestWithAnotherMethodIsRefused() throws IOException {
    try (PathFixture path = PathFixture.start(ANSWER)) {
      HttpResponse<String> response = path.send(path.request(PathFixture.CHAT));
      assertEquals(response.statusCode(), 405);
      assertEquals(response.headers().firstValue("Allow").orElse(""), "POST");
    }
  }

  @Test
  public void unknownModelIsRefused() throws IOException {
    try (PathFixture path = PathFixture.start(ANSWER)) {
      HttpResponse<String> response =
          path.send(path.post(PathFixture.CHAT, "{\"model\":\"other\",\"messages\":[]}"));
      assertEquals(response.statusCode(), 404);
      assertTrue(response.body().contains("model-unknown"), response.body());
    }
  }

  @Test
  public void bodyAtTheSizeLimitIsAcceptedAndOneByteMoreIsRefused() throws IOException {
    try (PathFixture path = PathFixture.start(withBodyLimits(1_000, 10_000), ANSWER)) {
      HttpResponse<String> fits = path.send(path.post("/stock", "x".repeat(1_000)));
      HttpResponse<String> exceeds = path.send(path.post("/stock", "x".repeat(1_001)));
      assertEquals(fits.statusCode(), 200);
      assertEquals(exceeds.statusCode(), 413);
      assertEquals(path.arrivals().size(), 1);
    }
  }

  @Test
  public void oversizedChunkedBodyIsRefused() throws IOException {
    try (PathFixture path = PathFixture.start(withBodyLimits(1_000, 10_000), ANSWER);
        RawCaller caller = new RawCaller(path.http.callerAddress())) {
      caller.write(
          "POST /hours HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
              + "7d0\r\n"
              + "x".repeat(2_000)
              + "\r\n");
      assertTrue(caller.readUntil("}").startsWith("HTTP/1.1 413"));
      assertEquals(path.arrivals().size(), 0);
    }
  }

  @Test
  public void incompleteBodyIsRefusedAfterTheTimeout() throws IOException {
    try (PathFixture path = PathFixture.start(withBodyLimits(1_000, 200), ANSWER);
        RawCaller caller = new RawCaller(path.http.callerAddress())) {
      caller.write("POST /hours HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
      String answer = caller.readAll();
      assertTrue(answer.startsWith("HTTP/1.1 408"), answer);
      assertTrue(answer.contains("request-timeout"), answer);
    }
  }

  @Test
  public void incompleteHeadIsRefusedAfterTheTimeout() throws IOException {
    try (PathFixture path = PathFixture.start(withBodyLimits(1_000, 200), ANSWER);
        RawCaller caller = new RawCaller(path.http.callerAddress())) {
      caller.write("GET /hours HTTP/1.1\r\nHost: x\r\n\r\n");
      assertTrue(caller.readUntil("{}").startsWith("HTTP/1.1 200"));
      caller.write("GET /hours HTTP/1.1\r\nHo");
      String answer = caller.readAll();
      assertTrue(answer.startsWith("HTTP/1.1 408"), answer);
      assertTrue(answer.contains("request-timeout"), answer);
    }
  }

  private static DaemonHttp.Settings withBodyLimits(int maxBytes, long timeoutMillis) {
    CallerSettings caller =
        new CallerSettings("127.0.0.1", 0, 8 << 10, 16 << 10, maxBytes, timeoutMillis, 60_000, 0);
    DaemonHttp.Settings defaults = PathFixture.defaults();
    return new DaemonHttp.Settings(caller, defaults.relay(), defaults.upstream(), defaults.tls());
  }
}
