package org.ragworttide.gateway.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.PeerLoads;
import org.ragworttide.gateway.PlainHeaderCodec;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.UpstreamEntry;
import org.ragworttide.gateway.relay.ResponseMetadata;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that responses that are mismatched, duplicated, truncated, unframed or not HTTP never reach
 * another request, and when a connection is reused.
 */
public class UpstreamConnectionTest {
  private static final String REFUSAL =
      "HTTP/1.1 503 Service Unavailable\nnot-run: 1\nid: r1\nContent-Length: 0\n\n";

  private static final List<String> SUCCESSES =
      List.of(
          "HTTP/1.1 200 OK\nid: r1\nreceipt: x\nContent-Length: 6\n\nabcdef",
          "HTTP/1.1 200 OK\nContent-Length: 6\nreceipt: x\nid: r1\n\nabcdef",
          "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nid: r1\n\n6\nabcdef\n0\n\n",
          "HTTP/1.1 200 OK\nreceipt: x\nDate: Sat, 05 Dec 2026 11:39:27 GMT\nid: r1\n\nabcdef");

  private Upstream upstream;
  private final List<String> foreign = new ArrayList<>();
  private final ForeignBytesListener foreignBytes =
      new ForeignBytesListener() {
        @Override
        public void responseSkipped(UpstreamId from, String responseId, String awaitedId) {
          foreign.add(from + " skipped " + responseId + " for " + awaitedId);
        }

        @Override
        public void connectionDiscarded(UpstreamId from, String reason) {
          foreign.add(from + " discarded");
        }
      };

  /** Creates an upstream without connections. */
  @BeforeMethod
  public void createUpstream() {
    upstream =
        new Upstream(
            new UpstreamEntry(
                new UpstreamId("u"),
                new ServiceName("s"),
                new InetSocketAddress("127.0.0.1", 1),
                new ZoneId("z"),
                8,
                false,
                0,
                0,
                Optional.empty()),
            new PeerLoads(),
            0);
    foreign.clear();
  }

  private static final class Recorder implements AttemptListener {
    private final List<String> events = new ArrayList<>();

    @Override
    public void connectFailed(ConnectFailure failure) {
      events.add("unreachable");
    }

    @Override
    public void responseStarted(HttpResponse response, ResponseMetadata metadata) {
      events.add(response.status().code() + " " + metadata.requestId());
    }

    @Override
    public void contentReceived(ByteBuf content) {
      events.add(content.toString(StandardCharsets.US_ASCII));
      content.release();
    }

    @Override
    public void responseCompleted() {
      events.add("ended");
    }

    @Override
    public void responseFailed(String reason) {
      events.add("broken");
    }
  }

  private EmbeddedChannel open() {
    EmbeddedChannel channel = new EmbeddedChannel();
    new UpstreamConnection(upstream, new PlainHeaderCodec(), foreignBytes, () -> 0)
        .addTo(channel.pipeline());
    return channel;
  }

  private static Recorder send(EmbeddedChannel channel, String id) {
    return send(channel, id, HttpMethod.GET);
  }

  private static Recorder send(EmbeddedChannel channel, String id, HttpMethod method) {
    Recorder recorder = new Recorder();
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/a/");
    channel.pipeline().get(UpstreamConnection.class).send(request, id, recorder);
    return recorder;
  }

  private static void receive(EmbeddedChannel channel, String text) {
    receiveExactly(channel, withLineEnds(text));
  }

  /** Ends the upstream's side of the connection, as a received FIN does. */
  private static void endInput(EmbeddedChannel channel) {
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
  }

  private static String withLineEnds(String text) {
    return text.replace("\n", "\r\n");
  }

  private static void receiveExactly(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  @Test
  public void completeResponseReachesItsRequestAndTheConnectionIsReused() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nContent-Length: 2\n\nab");
    assertEquals(recorder.events, List.of("200 r1", "ab", "ended"));
    assertTrue(upstream.takeIdle(0).isPresent());
  }

  @Test
  public void answerToAnEarlierRequestIsSkipped() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r2");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nContent-Length: 2\n\nxx");
    receive(channel, "HTTP/1.1 200 OK\nid: r2\nContent-Length: 2\n\nab");
    assertEquals(recorder.events, List.of("200 r2", "ab", "ended"));
    assertEquals(foreign, List.of("u skipped r1 for r2"));
  }

  @Test
  public void secondResponseClosesTheConnection() {
    EmbeddedChannel channel = open();
    send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nContent-Length: 2\n\nab");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nContent-Length: 2\n\nab");
    assertFalse(channel.isActive());
    assertTrue(upstream.takeIdle(0).isEmpty());
  }

  @Test
  public void truncatedResponseIsReportedAsFailed() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nContent-Length: 9\n\nab");
    channel.close();
    assertEquals(recorder.events, List.of("200 r1", "ab", "broken"));
  }

  @Test
  public void unframedResponseIsCompletedByTheEndOfItsConnection() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\n\nab");
    endInput(channel);
    assertEquals(recorder.events, List.of("200 r1", "ab", "ended"));
    assertFalse(channel.isActive());
    assertTrue(upstream.takeIdle(0).isEmpty());
  }

  /** Guards against half of a response looking whole after a reset that a write has found. */
  @Test
  public void unframedResponseIsReportedAsFailedIfTheUpstreamHasNotEndedIt() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\n\nab");
    channel.close();
    assertEquals(recorder.events, List.of("200 r1", "ab", "broken"));
  }

  @Test
  public void idleConnectionThatTheUpstreamEndsIsClosed() {
    EmbeddedChannel channel = open();
    send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nContent-Length: 0\n\n");
    endInput(channel);
    assertFalse(channel.isActive());
    assertTrue(upstream.takeIdle(0).isEmpty());
  }

  @Test
  public void unframedResponseIsReportedAsFailedAfterReset() {
    EmbeddedChannel channel = open();
    final Recorder recorder = send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\n\nab");
    channel.pipeline().fireExceptionCaught(new IOException("reset"));
    channel.close();
    assertEquals(recorder.events, List.of("200 r1", "ab", "broken"));
  }

  @Test
  public void responseThatIsNotHttpIsReportedAsFailed() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1");
    receive(channel, "garbage garbage garbage\n\n");
    assertEquals(recorder.events, List.of("broken"));
    assertFalse(channel.isActive());
  }

  /** Numbers of bytes after which an extra copy of a refusal breaks off. */
  @DataProvider
  public Object[][] tornLengths() {
    return IntStream.range(1, withLineEnds(REFUSAL).length())
        .mapToObj(length -> new Object[] {length})
        .toArray(Object[][]::new);
  }

  /** Guards against the torn head of an extra response making the next one look like a refusal. */
  @Test(dataProvider = "tornLengths")
  public void tornExtraResponseOnAnIdleConnectionClosesIt(int length) {
    EmbeddedChannel channel = open();
    send(channel, "r1");
    receive(channel, REFUSAL);
    receiveExactly(channel, withLineEnds(REFUSAL).substring(0, length));
    assertFalse(channel.isActive());
    assertTrue(upstream.takeIdle(0).isEmpty());
    assertEquals(foreign, List.of("u discarded"));
  }

  /** Guards against reuse of a connection whose decoder holds the beginning of another response. */
  @Test(dataProvider = "tornLengths")
  public void connectionIsNotReusedAfterResponseWithTrailingBytes(int length) {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1");
    receiveExactly(
        channel,
        withLineEnds("HTTP/1.1 200 OK\nid: r1\nContent-Length: 2\n\nab")
            + withLineEnds(REFUSAL).substring(0, length));
    assertEquals(recorder.events, List.of("200 r1", "ab", "ended"));
    assertTrue(upstream.takeIdle(0).isEmpty());
    assertFalse(channel.isActive());
    assertEquals(foreign, List.of("u discarded"));
  }

  /** Guards against a torn head that arrives after the next request has been sent. */
  @Test(dataProvider = "tornLengths")
  public void tornExtraResponseBeforeTheResponseIsNotJoinedWithIt(int length) {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r2");
    receiveExactly(channel, withLineEnds(REFUSAL).substring(0, length));
    receive(channel, "HTTP/1.1 200 OK\nid: r2\nContent-Length: 2\n\nab");
    assertEquals(recorder.events, List.of("broken"));
    assertFalse(channel.isActive());
  }

  /** Numbers of bytes after which an extra copy of a success breaks off, for each framing. */
  @DataProvider
  public Object[][] tornSuccesses() {
    return SUCCESSES.stream()
        .map(UpstreamConnectionTest::withLineEnds)
        .flatMap(
            success ->
                IntStream.range(1, success.length())
                    .mapToObj(length -> new Object[] {success.substring(0, length)}))
        .toArray(Object[][]::new);
  }

  /** Guards against a failure with the status of a success that broke off before it (issue 34). */
  @Test(dataProvider = "tornSuccesses")
  public void failureAfterTornExtraResponseIsNotReceivedAsSuccess(String torn) {
    EmbeddedChannel channel = open();
    final Recorder recorder = send(channel, "r2");
    receiveExactly(channel, torn);
    receive(channel, "HTTP/1.1 500 Internal Error\nid: r2\nreceipt: y\nContent-Length: 2\n\nno");
    channel.close();
    assertEquals(recorder.events, List.of("broken"));
  }

  /** Beginnings of a success whose last line becomes one without a colon. */
  @DataProvider
  public Object[][] linesWithoutColon() {
    return new Object[][] {{"X-Cut "}, {"X-Cut\t"}, {"X-Cut OK"}, {"receipt x: y\nX-Cut some "}};
  }

  /** Guards against a status line that the decoder drops with a line without a colon. */
  @Test(dataProvider = "linesWithoutColon")
  public void failureAfterLineWithoutColonIsNotReceivedAsSuccess(String line) {
    EmbeddedChannel channel = open();
    final Recorder recorder = send(channel, "r2");
    receive(
        channel,
        "HTTP/1.1 200 OK\n"
            + line
            + "HTTP/1.1 500 Internal Error\nid: r2\nreceipt: y\nContent-Length: 2\n\nno");
    assertEquals(recorder.events, List.of("broken"));
  }

  /** Spaces that the decoder accepts within a status line. */
  @DataProvider
  public Object[][] spaces() {
    return new Object[][] {{" "}, {"  "}, {"\t"}, {" \t "}, {"\f"}};
  }

  /** Guards against a torn success that hides a status line with other spaces than a single one. */
  @Test(dataProvider = "spaces")
  public void failureWithOtherSpacesInItsStatusLineIsNotReceivedAsSuccess(String space) {
    EmbeddedChannel channel = open();
    final Recorder recorder = send(channel, "r2");
    receive(
        channel,
        "HTTP/1.1 200 OK\nX-Extra: HTTP/1.1"
            + space
            + "500 Internal Error\nid: r2\nreceipt: y\nContent-Length: 2\n\nno");
    channel.close();
    assertEquals(recorder.events, List.of("broken"));
  }

  @Test
  public void spaceBeforeTheColonOfFieldIsAccepted() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid : r1\nX-Empty \t:\nContent-Length: 2\n\nab");
    assertEquals(recorder.events, List.of("200 r1", "ab", "ended"));
  }

  /** Forms of a status line that the decoder takes for one, after beginnings of another head. */
  @DataProvider
  public Object[][] statusLineForms() {
    return Stream.of("http/1.1 500", "HTTP/1.1  500", "HTTP/1.1\t500", "HTTP/1.10 500")
        .flatMap(
            form ->
                Stream.of("HTTP/1.1 200 ", "HTTP/1.1 200 OK\nX: ")
                    .map(torn -> new Object[] {form, torn}))
        .toArray(Object[][]::new);
  }

  /** Guards against a check of joined heads that knows fewer forms than the decoder. */
  @Test(dataProvider = "statusLineForms")
  public void failureWithUnusualStatusLineIsNotReceivedAsSuccess(String form, String torn) {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r2");
    receive(channel, torn);
    receive(channel, form + " Internal Error\nid: r2\nreceipt: y\nContent-Length: 2\n\nno");
    assertEquals(recorder.events, List.of("broken"));
  }

  /** Guards against a copy of a refusal that answers the next request on the connection. */
  @Test
  public void connectionIsNotReusedAfterRefusalWithoutId() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1");
    receive(channel, REFUSAL.replace("id: r1\n", ""));
    assertEquals(recorder.events, List.of("503 ", "ended"));
    assertTrue(upstream.takeIdle(0).isEmpty());
    assertFalse(channel.isActive());
  }

  /** Guards against a copy of a refusal without its id that is read as the next refusal. */
  @Test
  public void refusalThatHasLostItsIdIsNotReceivedAsRefusalOfTheNextRequest() {
    EmbeddedChannel channel = open();
    send(channel, "r1");
    receive(channel, REFUSAL);
    final Recorder recorder = send(channel, "r2");
    receive(channel, REFUSAL.replace("id: r1\n", ""));
    assertEquals(recorder.events, List.of("broken"));
    assertFalse(channel.isActive());
  }

  /** Guards against a promise that is lost because earlier refusals named their requests. */
  @Test
  public void refusalOfRequestWithoutIdIsReceivedAfterRefusalWithId() {
    EmbeddedChannel channel = open();
    send(channel, "r1");
    receive(channel, REFUSAL);
    final Recorder recorder = send(channel, "");
    receive(channel, REFUSAL.replace("id: r1\n", ""));
    assertEquals(recorder.events, List.of("503 ", "ended"));
    assertFalse(channel.isActive());
  }

  /**
   * Guards against a copy of a response without an id that answers the next request without one.
   */
  @Test
  public void connectionIsNotReusedAfterResponseWithoutId() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "");
    receive(channel, "HTTP/1.1 200 OK\nreceipt: x\nContent-Length: 2\n\nab");
    assertEquals(recorder.events, List.of("200 ", "ab", "ended"));
    assertTrue(upstream.takeIdle(0).isEmpty());
    assertFalse(channel.isActive());
  }

  @Test
  public void connectionIsReusedAfterRefusalWithId() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1");
    receive(channel, REFUSAL);
    assertEquals(recorder.events, List.of("503 r1", "ended"));
    assertTrue(upstream.takeIdle(0).isPresent());
  }

  @Test
  public void connectionIsNotReusedAfterSkippedResponse() {
    EmbeddedChannel channel = open();
    send(channel, "r2");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nContent-Length: 2\n\nxx");
    receive(channel, "HTTP/1.1 200 OK\nid: r2\nContent-Length: 2\n\nab");
    assertTrue(upstream.takeIdle(0).isEmpty());
    assertFalse(channel.isActive());
  }

  @Test
  public void responseToHeadRequestHasNoBody() {
    EmbeddedChannel channel = open();
    Recorder recorder = send(channel, "r1", HttpMethod.HEAD);
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nContent-Length: 2\n\n");
    assertEquals(recorder.events, List.of("200 r1", "ended"));
    assertTrue(upstream.takeIdle(0).isPresent());
  }

  @Test
  public void connectionIsNotReusedNearItsIdleTimeout() {
    EmbeddedChannel channel = open();
    send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nKeep-Alive: timeout=2\nContent-Length: 0\n\n");
    assertTrue(upstream.takeIdle(1_500).isEmpty());
  }
}
