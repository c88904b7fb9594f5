package org.ragworttide.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragworttide.daemon.relay.RelaySettings;
import org.testng.annotations.Test;

/** Tests that a failed stream is continued on another engine or ends with an error event. */
public final class StreamFailureTest {
  private static final int CHUNKS = 6;
  private static final long TIMEOUT_SECONDS = 20;
  private static final long NO_PROGRESS_MILLIS = 500;
  // Shorter than the window of the chat route, after which the request would be cancelled anyway.
  private static final long CANCEL_TIMEOUT_SECONDS = 5;

  private static final ScriptedUpstream.Script CONTINUES =
      exchange -> {
        String after = exchange.request().headers().getOrDefault("Stream-Resume-After", "0");
        exchange.streamHead();
        for (int i = Integer.parseInt(after); i < CHUNKS; i++) {
          exchange.event("{\"n\":" + i + "}");
        }
        exchange.endStream();
      };

  private static final ScriptedUpstream.Script RESETS_AFTER_TWO =
      exchange -> {
        exchange.streamHead();
        exchange.chunk(": a comment\n\ndata: {\"n\":0}\n\ndata: {\"n\":1}\n\ndata: {\"n\"");
        exchange.reset();
      };

  @Test
  public void lostStreamContinuesAfterTheLastEventThatTheCallerReceived() throws IOException {
    try (PathFixture path = PathFixture.start(RESETS_AFTER_TWO, CONTINUES)) {
      assertEquals(chat(path), ": a comment\n\n" + events(0) + "data: [DONE]\n\n");
      assertEquals(resumedAfter(path, 1), "2");
    }
  }

  @Test
  public void streamWithoutEndMarkerCountsAsLost() throws IOException {
    ScriptedUpstream.Script endsEarly =
        exchange -> {
          exchange.streamHead();
          exchange.event("{\"n\":0}");
          exchange.write("0\r\n\r\n");
        };
    try (PathFixture path = PathFixture.start(endsEarly, CONTINUES)) {
      assertEquals(chat(path), events(0) + "data: [DONE]\n\n");
      assertEquals(resumedAfter(path, 1), "1");
    }
  }

  @Test
  public void engineErrorEventIsNotRelayedWhenAnotherEngineContinues() throws IOException {
    ScriptedUpstream.Script reportsError =
        exchange -> {
          exchange.streamHead();
          exchange.chunk("data: {\"n\":0}\n\nevent: error\ndata: {}\n\n");
          exchange.endStream();
        };
    try (PathFixture path = PathFixture.start(reportsError, CONTINUES)) {
      assertEquals(chat(path), events(0) + "data: [DONE]\n\n");
    }
  }

  @Test
  public void streamThatCannotContinueEndsWithErrorEvent() throws IOException {
    ScriptedUpstream.Script refuses = exchange -> exchange.whole(500, "text/plain", "no");
    try (PathFixture path = PathFixture.start(RESETS_AFTER_TWO, refuses)) {
      assertErrorEvent(chat(path), "may-have-run");
      assertEquals(path.placement.inFlight(PathFixture.ENGINE), 0);
    }
  }

  @Test
  public void stalledStreamContinuesOnAnotherEngine() throws IOException {
    CountDownLatch never = new CountDownLatch(1);
    ScriptedUpstream.Script stalls =
        exchange -> {
          exchange.streamHead();
          exchange.event("{\"n\":0}");
          exchange.awaitDisconnect();
          never.countDown();
        };
    try (PathFixture path = PathFixture.start(withStall(200, 200), stalls, CONTINUES)) {
      assertEquals(chat(path), events(0) + "data: [DONE]\n\n");
    }
  }

  @Test
  public void streamThatDoesNotStartIsRetriedOnAnotherEngine() throws IOException {
    ScriptedUpstream.Script silent = ScriptedUpstream.Exchange::awaitDisconnect;
    try (PathFixture path = PathFixture.start(withStall(200, 5_000), silent, CONTINUES)) {
      assertEquals(chat(path), events(0) + "data: [DONE]\n\n");
    }
  }

  @Test
  public void oversizedEventEndsWithErrorEvent() throws IOException {
    ScriptedUpstream.Script endless =
        exchange -> {
          exchange.streamHead();
          exchange.event("{\"n\":0}");
          exchange.chunk("data: " + "x".repeat(100_000));
          exchange.awaitDisconnect();
        };
    RelaySettings limits = new RelaySettings(3, 1 << 20, 10_000, 30_000, 20_000, 30_000);
    try (PathFixture path = PathFixture.start(withRelay(limits), endless)) {
      String body = chat(path);
      assertErrorEvent(body, "completed");
      assertTrue(body.contains("answer-too-large"), body);
    }
  }

  @Test
  public void disconnectOfTheCallerCancelsTheEngineImmediately() throws Exception {
    CountDownLatch cancelled = new CountDownLatch(1);
    ScriptedUpstream.Script endless = endless(cancelled);
    try (PathFixture path = PathFixture.start(endless)) {
      RawCaller caller = new RawCaller(path.http.callerAddress());
      caller.post(PathFixture.CHAT, PathFixture.STREAMED_CHAT);
      caller.readUntil("\"n\":0");
      caller.close();
      assertTrue(cancelled.await(CANCEL_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }

  @Test
  public void disconnectBeforeTheAnswerCancelsTheEngineImmediately() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch cancelled = new CountDownLatch(1);
    ScriptedUpstream.Script silent =
        exchange -> {
          arrived.countDown();
          awaitCancel(exchange, cancelled);
        };
    try (PathFixture path = PathFixture.start(silent)) {
      RawCaller caller = new RawCaller(path.http.callerAddress());
      caller.post(PathFixture.CHAT, PathFixture.WHOLE_CHAT);
      assertTrue(arrived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      caller.close();
      assertTrue(cancelled.await(CANCEL_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }

  @Test
  public void withdrawnKeyEndsItsRunningStream() throws Exception {
    CountDownLatch cancelled = new CountDownLatch(1);
    try (PathFixture path = PathFixture.start(endless(cancelled))) {
      RawCaller caller = new RawCaller(path.http.callerAddress());
      caller.post(PathFixture.CHAT, PathFixture.STREAMED_CHAT);
      caller.readUntil("\"n\":0");
      path.withdrawKey();
      String rest = caller.readUntil("\r\n0\r\n");
      assertTrue(rest.contains("event: error") && rest.contains("key-withdrawn"), rest);
      assertTrue(cancelled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      assertEquals(path.send(path.request("/stock")).statusCode(), 401);
    }
  }

  @Test
  public void deadlineEndsStreamWithErrorEvent() throws Exception {
    CountDownLatch cancelled = new CountDownLatch(1);
    try (PathFixture path = PathFixture.start(endless(cancelled))) {
      HttpResponse<String> response =
          path.send(
              path.post(PathFixture.CHAT, PathFixture.STREAMED_CHAT)
                  .header("Request-Timeout-Ms", "700"));
      assertErrorEvent(response.body(), "may-have-run");
      assertTrue(response.body().contains("deadline-passed"), response.body());
      assertTrue(cancelled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }

  @Test
  public void callerThatDoesNotReadExertsBackpressureOnTheEngine() throws Exception {
    AtomicInteger written = new AtomicInteger();
    int events = 4_000;
    try (PathFixture path = PathFixture.start(large(events, written));
        RawCaller caller = new RawCaller(path.http.callerAddress())) {
      caller.post(PathFixture.CHAT, PathFixture.STREAMED_CHAT);
      awaitNoProgress(written);
      assertTrue(written.get() < events / 2, "written " + written);
    }
  }

  @Test
  public void slowCallerIsNotMistakenForStalledEngine() throws Exception {
    AtomicInteger written = new AtomicInteger();
    ScriptedUpstream.Script large = large(1_000, written);
    try (PathFixture path = PathFixture.start(withStall(20_000, 100), large, CONTINUES);
        RawCaller caller = new RawCaller(path.http.callerAddress())) {
      caller.post(PathFixture.CHAT, PathFixture.STREAMED_CHAT);
      awaitNoProgress(written);
      String answer = caller.readUntil("[DONE]");
      assertFalse(answer.contains("event: error"));
      assertEquals(path.arrivals().size(), 1);
    }
  }

  /** Returns a script whose answer exceeds the socket buffers. */
  private static ScriptedUpstream.Script large(int events, AtomicInteger written) {
    String filler = "x".repeat(30_000);
    return exchange -> {
      exchange.streamHead();
      for (int i = 0; i < events; i++) {
        exchange.event("{\"f\":\"" + filler + "\"}");
        written.incrementAndGet();
      }
      exchange.endStream();
    };
  }

  /** Waits until the engine has been unable to write for several times the stall timeout. */
  private static void awaitNoProgress(AtomicInteger written) throws InterruptedException {
    int before = -1;
    while (written.get() == 0 || written.get() > before) {
      before = written.get();
      Thread.sleep(NO_PROGRESS_MILLIS);
    }
  }

  private static ScriptedUpstream.Script endless(CountDownLatch cancelled) {
    return exchange -> {
      exchange.streamHead();
      exchange.event("{\"n\":0}");
      awaitCancel(exchange, cancelled);
    };
  }

  private static void awaitCancel(ScriptedUpstream.Exchange exchange, CountDownLatch cancelled)
      throws IOException {
    try {
      exchange.awaitDisconnect();
    } finally {
      cancelled.countDown();
    }
  }

  private static DaemonHttp.Settings withStall(long firstByteMillis, long stallMillis) {
    return withRelay(new RelaySettings(3, 1 << 20, 1 << 20, firstByteMillis, stallMillis, 30_000));
  }

  private static DaemonHttp.Settings withRelay(RelaySettings relay) {
    DaemonHttp.Settings defaults = PathFixture.defaults();
    return new DaemonHttp.Settings(defaults.caller(), relay, defaults.upstream(), defaults.tls());
  }

  private static String chat(PathFixture path) {
    CompletableFuture<HttpResponse<String>> response =
        path.sendAsync(path.post(PathFixture.CHAT, PathFixture.STREAMED_CHAT));
    return response.join().body();
  }

  private static String events(int from) {
    StringBuilder events = new StringBuilder();
    for (int i = from; i < CHUNKS; i++) {
      events.append("data: {\"n\":").append(i).append("}\n\n");
    }
    return events.toString();
  }

  private static String resumedAfter(PathFixture path, int upstream) {
    return path.upstream(upstream).received().getFirst().headers().get("Stream-Resume-After");
  }

  private static void assertErrorEvent(String body, String outcome) {
    assertTrue(body.contains("event: error\ndata: {"), body);
    assertTrue(body.contains("\"outcome\":\"" + outcome + "\""), body);
  }
}
