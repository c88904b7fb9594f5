package org.ragworttide.daemon.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests what callers of a daemon process receive if an upstream ends its response early or never.
 */
public class FaultyUpstreamTest {
  /** Requests that are sent at the same time; the daemon admits some of them to the upstream. */
  private static final int REQUESTS = 20;

  /** Bytes that the upstream may send for one case: several times the memory of a daemon. */
  private static final long SENT_BYTES = 600_000_000;

  private static final int DEADLINE_MILLIS = 1_500;

  /** Upstreams with an address and a route of their own, so that circuit breakers stay closed. */
  private static final int UPSTREAMS = 150;

  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
  private static final String HEAD = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
  private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";

  /** What the caller does with the response. */
  private enum Caller {
    READS,
    LEAVES
  }

  private final AtomicInteger responses = new AtomicInteger();
  private final AtomicInteger nextUpstream = new AtomicInteger();
  private volatile String response = "";
  private volatile String repeated = "";
  private volatile boolean reset;
  private final List<ServerSocket> upstreams = new ArrayList<>();
  private DaemonProcesses fleet;

  /** Starts the daemons and the upstreams, which are all the same. */
  @BeforeClass
  public void start() throws IOException {
    fleet = new DaemonProcesses();
    fleet.publish(1, configuration());
    DaemonProcesses.await(() -> fleet.get(0, "/sound").join().status() == 200);
  }

  /** Stops the daemons and the upstream. */
  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    fleet.close();
    for (ServerSocket upstream : upstreams) {
      upstream.close();
    }
  }

  private String configuration() throws IOException {
    StringBuilder entries = new StringBuilder("\"upstreams\": [ ");
    StringBuilder routes = new StringBuilder("\"routes\": [ ");
    for (int i = -1; i < UPSTREAMS; i++) {
      String name = i < 0 ? "sound" : "faulty-" + i;
      entries.append(
          """
          { "id": "%1$s", "kind": "SERVICE", "zone": "zone-0", "address": "127.0.0.1:%2$d",
            "models": [], "service": "IN", "coldConcurrency": 64 },
          """
              .formatted(name, startUpstream()));
      routes.append(
          """
          { "id": "%1$s", "path": "/%1$s", "kind": "SERVICE", "open": false,
            "idempotent": true, "windowMillis": 5000, "upstreams": ["%1$s"] },
          """
              .formatted(name));
    }
    return TestDocuments.configuration(1, 6, startUpstream(), false)
        .replace("\"upstreams\": [ {", entries + "{")
        .replace("\"routes\": [", routes)
        .replace(
            "\"ratePerSecond\": 200, \"burst\": 400", "\"ratePerSecond\": 5000, \"burst\": 5000");
  }

  /** Starts an upstream and returns its port. */
  private int startUpstream() throws IOException {
    ServerSocket upstream = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    upstreams.add(upstream);
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                while (true) {
                  Socket socket = upstream.accept();
                  Thread.ofVirtual().start(() -> serve(socket));
                }
              } catch (IOException e) {
                // The listener was closed.
              }
            });
    return upstream.getLocalPort();
  }

  private void serve(Socket socket) {
    try (socket) {
      for (String head = readHead(socket); !head.isEmpty(); head = readHead(socket)) {
        if (head.startsWith("GET /sound ")) {
          write(socket, OK);
        } else {
          respond(socket);
          return;
        }
      }
    } catch (IOException e) {
      // The daemon has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void respond(Socket socket) throws IOException, InterruptedException {
    responses.incrementAndGet();
    boolean resets = reset;
    byte[] block = repeated.repeat(16_384 / Math.max(1, repeated.length()) + 1).getBytes();
    write(socket, response);
    for (long sent = 0; block.length > 0 && sent < SENT_BYTES / REQUESTS; sent += block.length) {
      socket.getOutputStream().write(block);
    }
    if (resets) {
      Thread.sleep(20);
      socket.setSoLinger(true, 0);
    }
  }

  private static String readHead(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Beginnings of responses, the bytes that are repeated, and what the caller does. */
  @DataProvider
  public Object[][] endlessResponses() {
    String chunk = chunk("d".repeat(10_000));
    String field = "X-Filler: " + "f".repeat(1_000) + "\r\n";
    return new Object[][] {
      {"HTTP/1.1 200 ", "a".repeat(999), Caller.READS},
      {HEAD, field, Caller.READS},
      {"", "\r\n", Caller.READS},
      {"", INTERIM, Caller.READS},
      {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", chunk, Caller.READS},
      {HEAD + CHUNKED + "5;", "x=y;", Caller.READS},
      {HEAD + CHUNKED + "0\r\n", field, Caller.READS},
      {HEAD + CHUNKED, chunk, Caller.READS},
      {HEAD + CHUNKED, chunk, Caller.LEAVES},
      {HEAD + CHUNKED, chunk("d"), Caller.READS},
      {HEAD + "\r\n", "d", Caller.READS},
      {OK, "HTTP/1.1 200 OK garbage ", Caller.READS},
    };
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Guards against a process that keeps the bytes of a faulty upstream until its memory ends. */
  @Test(dataProvider = "endlessResponses")
  public void bytesWithoutEndDoNotFailRequestsOfOtherCallers(
      String beginning, String endless, Caller caller) throws Exception {
    response = beginning;
    repeated = endless;
    reset = false;
    String name = nextName();
    int responsesBefore = responses.get();
    List<Future<?>> received = new ArrayList<>();
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < REQUESTS; i++) {
        received.add(callers.submit(() -> call(name, caller)));
      }
      do {
        assertEquals(fleet.get(0, "/sound").join().status(), 200, beginning + fleet.log());
      } while (!received.stream().allMatch(Future::isDone));
    }
    for (Future<?> each : received) {
      each.get();
    }
    assertTrue(responses.get() > responsesBefore, "no request has reached the upstream");
    assertTrue(fleet.isAlive(0), fleet.log());
    assertFalse(fleet.log().contains("OutOf"), beginning + fleet.log());
  }

  /** The beginning of each response, and the part of it within which the connection ends. */
  @DataProvider
  public Object[][] cutResponses() {
    return new Object[][] {
      {"", HEAD + "Content-Length: 0\r\n\r"},
      {"", HEAD + "\r"},
      {INTERIM, HEAD + "\r"},
      {HEAD + "Content-Length: 4\r\n\r\n", "abc"},
      {HEAD + CHUNKED, chunk("abc") + "0\r\nX-Trailer: a\r\n\r"},
    };
  }

  /** Guards against a response that ends early but looks whole to its caller. */
  @Test(dataProvider = "cutResponses")
  public void responseThatEndsEarlyDoesNotLookWhole(String before, String part) throws Exception {
    repeated = "";
    for (int cut = 0; cut <= part.length(); cut++) {
      assertNotWhole(before + part.substring(0, cut), false);
    }
    for (int cut : new int[] {0, part.length() / 2, part.length()}) {
      assertNotWhole(before + part.substring(0, cut), true);
    }
  }

  private void assertNotWhole(String cut, boolean resets) throws Exception {
    response = cut;
    reset = resets;
    int responsesBefore = responses.get();
    String received = call(nextName(), Caller.READS);
    assertEquals(responses.get(), responsesBefore + 1);
    assertTrue(received.startsWith("HTTP/1.1 50"), "response " + cut + " received as " + received);
    assertTrue(received.contains("may-have-run"), received);
  }

  private String nextName() {
    int number = nextUpstream.getAndIncrement();
    assertTrue(number < UPSTREAMS, "more upstreams are needed");
    return "faulty-" + number;
  }

  /** Sends a request to an upstream and returns the beginning of the response. */
  private String call(String name, Caller caller) throws IOException, InterruptedException {
    try (Socket socket = fleet.connect(0)) {
      write(
          socket,
          "GET /%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer %s\r\n"
                  .formatted(name, DaemonProcesses.KEY)
              + "Request-Timeout-Ms: %d\r\n\r\n".formatted(DEADLINE_MILLIS));
      return switch (caller) {
        case READS -> read(socket.getInputStream());
        case LEAVES -> leave();
      };
    } catch (SocketException e) {
      return "aborted";
    }
  }

  private static String leave() throws InterruptedException {
    Thread.sleep(DEADLINE_MILLIS / 4);
    return "not read";
  }

  /** Reads a response to its end and returns its beginning and its end. */
  private static String read(InputStream in) throws IOException {
    byte[] buffer = new byte[65_536];
    StringBuilder read = new StringBuilder();
    for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
      read.append(new String(buffer, 0, length, StandardCharsets.US_ASCII));
      if (read.length() > 2 * buffer.length) {
        read.delete(buffer.length, read.length() - buffer.length / 2);
      }
    }
    return read.toString();
  }
}
