package org.ragworttide.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.ragworttide.daemon.caller.CallerSettings;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests that a drain interrupts no running request. */
public final class DrainTest {
  private static final long TIMEOUT_SECONDS = 20;
  private static final long STILL_RUNNING_MILLIS = 500;

  @Test
  public void runningStreamFinishesAndTheListenerCloses() throws Exception {
    CountDownLatch finish = new CountDownLatch(1);
    ScriptedUpstream.Script slow =
        exchange -> {
          exchange.streamHead();
          exchange.event("{\"n\":0}");
          await(finish);
          exchange.endStream();
        };
    try (PathFixture path = PathFixture.start(withNotice(0), slow)) {
      RawCaller caller = new RawCaller(path.http.callerAddress());
      caller.post(PathFixture.CHAT, PathFixture.STREAMED_CHAT);
      caller.readUntil("\"n\":0");
      CompletableFuture<Void> drained = path.http.drain().toFuture();
      assertTrue(path.http.isDraining());
      awaitRefusedConnections(path);
      assertStillDraining(drained);
      finish.countDown();
      assertTrue(caller.readUntil("[DONE]\n\n").endsWith("[DONE]\n\n"));
      drained.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  @Test
  public void answersDuringTheNoticePeriodCloseTheirConnections() throws Exception {
    try (PathFixture path =
        PathFixture.start(withNotice(60_000), exchange -> exchange.json("{}"))) {
      RawCaller caller = new RawCaller(path.http.callerAddress());
      caller.post("/stock", "{}");
      assertFalse(caller.readUntil("{}").toLowerCase().contains("connection: close"));
      path.http.drain().subscribe();
      caller.post("/stock", "{}");
      String answer = caller.readAll();
      assertTrue(answer.contains("200 OK"), answer);
      assertTrue(answer.toLowerCase().contains("connection: close"), answer);
    }
  }

  @Test
  public void drainWaitsForBookingWhoseCallerTimedOut() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch finish = new CountDownLatch(1);
    ScriptedUpstream.Script slow =
        exchange -> {
          arrived.countDown();
          await(finish);
          exchange.json("{}");
        };
    try (PathFixture path = PathFixture.start(withNotice(0), slow)) {
      HttpResponse<String> response =
          path.send(
              path.post("/bookings", "{}")
                  .header("Idempotency-Key", "k-1")
                  .header("Request-Timeout-Ms", "500"));
      assertEquals(response.statusCode(), 504);
      assertTrue(arrived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      CompletableFuture<Void> drained = path.http.drain().toFuture();
      awaitRefusedConnections(path);
      assertStillDraining(drained);
      finish.countDown();
      drained.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  @Test
  public void lastStreamOfStopIsReceivedToItsLastChunk() throws Exception {
    for (int run = 0; run < 20; run++) {
      CountDownLatch finish = new CountDownLatch(1);
      ScriptedUpstream.Script slow =
          exchange -> {
            exchange.streamHead();
            exchange.event("{\"n\":0}");
            await(finish);
            exchange.endStream();
          };
      try (PathFixture path = PathFixture.start(withNotice(0), slow)) {
        RawCaller caller = new RawCaller(path.http.callerAddress());
        caller.post(PathFixture.CHAT, PathFixture.STREAMED_CHAT);
        caller.readUntil("\"n\":0");
        final CompletableFuture<Void> stopped = stop(path);
        awaitRefusedConnections(path);
        finish.countDown();
        String end = caller.readUntil("\r\n0\r\n\r\n");
        assertTrue(end.endsWith("\r\n0\r\n\r\n"), "run " + run + " received " + end);
        stopped.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
    }
  }

  @Test
  public void requestThatArrivesWhileAnAbandonedBookingRunsIsAnswered() throws Exception {
    CountDownLatch booked = new CountDownLatch(1);
    CountDownLatch finishBooking = new CountDownLatch(1);
    CountDownLatch lateArrived = new CountDownLatch(1);
    CountDownLatch finishLate = new CountDownLatch(1);
    ScriptedUpstream.Script script =
        exchange -> {
          if (exchange.request().line().contains("/bookings")) {
            booked.countDown();
            await(finishBooking);
          } else if (exchange.request().line().contains("late")) {
            lateArrived.countDown();
            await(finishLate);
          }
          exchange.json("{}");
        };
    try (PathFixture path = PathFixture.start(withNotice(0), script)) {
      RawCaller kept = new RawCaller(path.http.callerAddress());
      kept.post("/stock", "{}");
      kept.readUntil("{}");
      HttpResponse<String> abandoned =
          path.send(
              path.post("/bookings", "{}")
                  .header("Idempotency-Key", "k-1")
                  .header("Request-Timeout-Ms", "500"));
      assertEquals(abandoned.statusCode(), 504);
      assertTrue(booked.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      final CompletableFuture<Void> stopped = stop(path);
      awaitRefusedConnections(path);
      kept.post("/stock?late", "{}");
      assertTrue(lateArrived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      finishBooking.countDown();
      assertStillDraining(stopped);
      finishLate.countDown();
      String answer = kept.readUntil("{}");
      assertTrue(answer.contains("200 OK") && answer.endsWith("{}"), answer);
      stopped.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  /** Stops the path as the daemon does. */
  private static CompletableFuture<Void> stop(PathFixture path) {
    return path.http.drain().then(Mono.defer(path.http::close)).toFuture();
  }

  private static void assertStillDraining(CompletableFuture<Void> drained) {
    assertThrows(
        TimeoutException.class, () -> drained.get(STILL_RUNNING_MILLIS, TimeUnit.MILLISECONDS));
  }

  private static DaemonHttp.Settings withNotice(long noticeMillis) {
    CallerSettings caller =
        new CallerSettings(
            "127.0.0.1", 0, 8 << 10, 16 << 10, 1 << 20, 10_000, 60_000, noticeMillis);
    DaemonHttp.Settings defaults = PathFixture.defaults();
    return new DaemonHttp.Settings(caller, defaults.relay(), defaults.upstream(), defaults.tls());
  }

  private static void awaitRefusedConnections(PathFixture path) throws Exception {
    while (true) {
      try (RawCaller caller = new RawCaller(path.http.callerAddress())) {
        Thread.onSpinWait();
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
