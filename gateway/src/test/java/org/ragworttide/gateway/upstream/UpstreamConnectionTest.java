package org.ragworttide.gateway.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.PeerLoads;
import org.ragworttide.gateway.PlainHeaderCodec;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.UpstreamEntry;
import org.ragworttide.gateway.relay.ResponseMetadata;
import org.testng.annotations.Test;

/**
 * Tests that responses that are mismatched, duplicated, truncated, unframed or not HTTP never reach
 * another request, and when a connection is reused.
 */
public class UpstreamConnectionTest {
  private final Upstream upstream =
      new Upstream(
          new UpstreamEntry(
              new UpstreamId("u"),
              new ServiceName("s"),
              new InetSocketAddress("127.0.0.1", 1),
              new ZoneId("z"),
              8,
              false,
              0,
              0),
          new PeerLoads(),
          0);

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
    return new EmbeddedChannel(
        new HttpClientCodec(), new UpstreamConnection(upstream, new PlainHeaderCodec(), () -> 0));
  }

  private static Recorder send(EmbeddedChannel channel, String id) {
    Recorder recorder = new Recorder();
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a/");
    channel.pipeline().get(UpstreamConnection.class).send(request, id, recorder);
    return recorder;
  }

  private static void receive(EmbeddedChannel channel, String text) {
    channel.writeInbound(
        Unpooled.copiedBuffer(text.replace("\n", "\r\n"), StandardCharsets.US_ASCII));
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
    channel.close();
    assertEquals(recorder.events, List.of("200 r1", "ab", "ended"));
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

  @Test
  public void connectionIsNotReusedNearItsIdleTimeout() {
    EmbeddedChannel channel = open();
    send(channel, "r1");
    receive(channel, "HTTP/1.1 200 OK\nid: r1\nKeep-Alive: timeout=2\nContent-Length: 0\n\n");
    assertTrue(upstream.takeIdle(1_500).isEmpty());
  }
}
