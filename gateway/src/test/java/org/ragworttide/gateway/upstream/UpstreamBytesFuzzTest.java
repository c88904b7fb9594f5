package org.ragworttide.gateway.upstream;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.PeerLoads;
import org.ragworttide.gateway.PlainHeaderCodec;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.UpstreamEntry;
import org.ragworttide.gateway.relay.ResponseMetadata;
import org.testng.annotations.Test;

/**
 * Plays random scripts of requests and of the bytes that an upstream sends, and compares what each
 * request receives with what the upstream answered to it.
 *
 * <p>An upstream without faults answers each request once. One with faults also sends copies of
 * earlier responses, whole, torn, spoiled, or bytes that are no response, before or after a
 * response, while no request is in flight or after the next one has been sent; it breaks responses
 * off, and ends or resets its connections. Left out is what no receiver can tell from a valid
 * response: bytes after a response without a length or within a body that was broken off, and a
 * body without a length that is broken off by a regular end of the connection. Bytes that follow
 * the beginning of a head of the response itself are those of another head. An upstream puts the id
 * into all of its refusals or into none.
 *
 * <p>Seeds: {@code -Dseed=S -Dscripts=N} plays the scripts S to S + N - 1.
 */
public class UpstreamBytesFuzzTest {
  private static final int DEFAULT_SCRIPTS = 3_000;
  private static final int MAX_STEPS = 20_000;

  private static final List<String> FRAGMENTS =
      List.of(
          "HTTP/1.1",
          "HTTP/1.0",
          " ",
          "200",
          "500 ",
          " OK",
          "\r\n",
          "\n",
          "\r",
          "\t",
          "\0",
          ":",
          ";",
          ",",
          "0",
          "7f",
          "id: ",
          "receipt: x",
          "not-run: 1",
          "Content-Length: 4",
          "Content-Length: 0",
          "Transfer-Encoding: chunked",
          "X-A: ",
          "\r\n\r\n",
          "x");

  /** What an upstream does after the last byte on a connection. */
  private enum End {
    NONE,
    REGULAR,
    RESET
  }

  @Test
  public void requestsReceiveOnlyWhatTheUpstreamAnsweredToThem() {
    playAll(true);
  }

  @Test
  public void requestsToAnUpstreamWithoutFaultsAreServedOnReusedConnections() {
    playAll(false);
  }

  private static void playAll(boolean faulty) {
    long first = Long.getLong("seed", 1);
    int scripts = Integer.getInteger("scripts", DEFAULT_SCRIPTS);
    int served = 0;
    int requests = 0;
    for (long seed = first; seed < first + scripts; seed++) {
      Script script = new Script(seed, faulty, false);
      script.play();
      if (!script.violations.isEmpty()) {
        Script traced = new Script(seed, faulty, true);
        traced.play();
        fail("seed " + seed + ": " + traced.violations + "\n" + String.join("\n", traced.trace));
      }
      served += (int) script.exchanges.stream().filter(it -> it.completed).count();
      requests += script.exchanges.size();
    }
    System.out.printf(
        "seeds %d to %d, faults %b: %d of %d requests served%n",
        first, first + scripts - 1, faulty, served, requests);
  }

  /** One request, the upstream's response to it, and what its listener has received so far. */
  private static final class Exchange implements AttemptListener {
    private final Script script;
    private final FuzzedResponse response;
    private final HttpMethod method;
    private final StringBuilder body = new StringBuilder();
    private boolean started;
    private boolean completed;
    private boolean failed;
    private boolean abandoned;
    private boolean whole;

    private Exchange(Script script, FuzzedResponse response, HttpMethod method) {
      this.script = script;
      this.response = response;
      this.method = method;
    }

    private boolean isSettled() {
      return completed || failed || abandoned;
    }

    private void event(String text, boolean valid) {
      script.trace(() -> "    " + response.id() + " " + text);
      if (!valid || isSettled()) {
        script.violations.add(response.id() + " " + text);
      }
    }

    @Override
    public void connectFailed(ConnectFailure failure) {
      event("connect failed", false);
    }

    @Override
    public void responseStarted(HttpResponse received, ResponseMetadata metadata) {
      String expectedId = response.namesRequest() ? response.id() : "";
      event(
          "started " + received.status() + " " + received.headers().entries(),
          !started
              && received.status().code() == response.status()
              && metadata.notRun() == response.refusal()
              && metadata.hasReceipt() != response.refusal()
              && metadata.requestId().equals(expectedId)
              && received.headers().getAll("trace").equals(List.of(response.id())));
      started = true;
    }

    @Override
    public void contentReceived(ByteBuf content) {
      body.append(content.toString(StandardCharsets.ISO_8859_1));
      content.release();
      event("content", started && response.body().startsWith(body.toString()));
    }

    @Override
    public void responseCompleted() {
      event("completed", started && whole && response.body().contentEquals(body));
      completed = true;
    }

    @Override
    public void responseFailed(String reason) {
      event("failed: " + reason, true);
      failed = true;
    }
  }

  /** Holds written messages back, as a connection does whose peer does not read. */
  private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
    private final Deque<ChannelPromise> held = new ArrayDeque<>();
    private boolean holding;

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      if (holding) {
        held.add(promise);
      } else {
        promise.trySuccess();
      }
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
      ctx.close(promise);
      while (!held.isEmpty()) {
        held.poll().tryFailure(new IOException("closed"));
      }
    }

    private void release() {
      holding = false;
      while (!held.isEmpty()) {
        held.poll().trySuccess();
      }
    }
  }

  /** A connection, and the bytes on it that the gateway has not read yet. */
  private static final class Wire {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final HeldWrites writes = new HeldWrites();
    private final UpstreamConnection connection;
    private final StringBuilder unread = new StringBuilder();
    private final List<Mark> marks = new ArrayList<>();
    private final List<FuzzedResponse> answered = new ArrayList<>();
    private End end = End.NONE;
    private boolean used;

    /** Something that is true once the bytes before the position have been read. */
    private record Mark(int position, Runnable reached) {}

    private Wire(Upstream upstream) {
      connection = new UpstreamConnection(upstream, new PlainHeaderCodec(), NOWHERE, () -> 0);
      channel.pipeline().addLast(writes);
      connection.addTo(channel.pipeline());
    }

    private boolean hasInput() {
      return channel.isActive() && (!unread.isEmpty() || end != End.NONE);
    }

    private void add(String bytes) {
      if (end == End.NONE) {
        unread.append(bytes);
      }
    }

    private void mark(Runnable reached) {
      if (end == End.NONE) {
        marks.add(new Mark(unread.length(), reached));
      }
    }

    private void read(Random random) {
      if (unread.isEmpty()) {
        end(end);
        return;
      }
      int most = random.nextInt(3) == 0 ? unread.length() : Math.min(unread.length(), 30);
      int length = random.nextInt(5) == 0 ? unread.length() : 1 + random.nextInt(most);
      final String bytes = unread.substring(0, length);
      unread.delete(0, length);
      List<Mark> rest = new ArrayList<>();
      for (Mark mark : marks) {
        if (mark.position() <= length) {
          mark.reached().run();
        } else {
          rest.add(new Mark(mark.position() - length, mark.reached()));
        }
      }
      marks.clear();
      marks.addAll(rest);
      channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    private void end(End how) {
      end = End.NONE;
      if (how == End.REGULAR) {
        marks.forEach(mark -> mark.reached().run());
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      } else if (how == End.RESET && channel.isActive()) {
        channel.pipeline().fireExceptionCaught(new IOException("reset"));
        channel.close();
      }
    }
  }

  private static final ForeignBytesListener NOWHERE =
      new ForeignBytesListener() {
        @Override
        public void responseSkipped(UpstreamId from, String responseId, String awaitedId) {}

        @Override
        public void connectionDiscarded(UpstreamId from, String reason) {}
      };

  /** A random sequence of requests, reads and ends of connections, which a seed determines. */
  private static final class Script {
    private final Random random;
    private final boolean faulty;
    private final boolean traced;
    private final boolean refusalsHaveIds;
    private final int requests;
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
                0,
                Optional.empty()),
            new PeerLoads(),
            0);
    private final List<Wire> wires = new ArrayList<>();
    private final List<Exchange> exchanges = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private Wire current;

    private Script(long seed, boolean faulty, boolean traced) {
      this.random = new Random(seed);
      this.faulty = faulty;
      this.traced = traced;
      this.requests = 2 + random.nextInt(5);
      this.refusalsHaveIds = random.nextBoolean();
    }

    private void play() {
      for (int step = 0; violations.isEmpty() && !isOver(); step++) {
        assertTrue(step < MAX_STEPS, "script does not end");
        step();
      }
      for (Wire wire : wires) {
        wire.writes.release();
        wire.end(End.RESET);
        wire.channel.finishAndReleaseAll();
      }
      for (Exchange exchange : exchanges) {
        check(exchange.isSettled(), exchange.response.id() + " has received no end");
        check(faulty || exchange.completed, exchange.response.id() + " was not served");
      }
    }

    private void trace(Supplier<String> text) {
      if (traced) {
        trace.add(text.get());
      }
    }

    private void check(boolean valid, String text) {
      if (!valid) {
        violations.add(text);
      }
    }

    private boolean isOver() {
      return exchanges.size() == requests && wires.stream().noneMatch(Wire::hasInput);
    }

    private void step() {
      List<Wire> ready = wires.stream().filter(Wire::hasInput).toList();
      Exchange last = exchanges.isEmpty() ? null : exchanges.getLast();
      boolean pending = last != null && !last.isSettled();
      boolean mayStart = exchanges.size() < requests && !pending;
      if (mayStart && (ready.isEmpty() || random.nextInt(3) == 0)) {
        start();
      } else if (pending && ready.isEmpty() && current.writes.holding) {
        release();
      } else if (pending && (ready.isEmpty() || faulty && random.nextInt(60) == 0)) {
        abandon(last);
      } else if (current != null && current.writes.holding && random.nextInt(8) == 0) {
        release();
      } else if (!ready.isEmpty()) {
        Wire wire = ready.get(random.nextInt(ready.size()));
        trace(() -> "read on " + wires.indexOf(wire) + " of " + quote(wire.unread.toString()));
        wire.read(random);
      }
    }

    private void release() {
      trace(() -> "request sent completely");
      current.writes.release();
    }

    private void abandon(Exchange exchange) {
      check(faulty, exchange.response.id() + " has received no response");
      boolean detach = random.nextBoolean();
      trace(() -> exchange.response.id() + (detach ? " detached" : " cancelled"));
      exchange.abandoned = true;
      if (detach) {
        current.connection.detach(0);
      } else {
        current.connection.cancel();
      }
    }

    private void start() {
      Wire previous = current;
      boolean reusable =
          previous != null
              && exchanges.getLast().response.keepsConnection()
              && exchanges.getLast().response.namesRequest()
              && !previous.writes.holding
              && previous.used;
      current = connect();
      check(faulty || !reusable || current == previous, "connection was not reused");
      String id = HexFormat.of().toHexDigits(random.nextLong());
      HttpMethod method = random.nextInt(8) == 0 ? HttpMethod.HEAD : HttpMethod.POST;
      FuzzedResponse response =
          FuzzedResponse.random(random, id, method.equals(HttpMethod.HEAD), refusalsHaveIds);
      Exchange exchange = new Exchange(this, response, method);
      if (faulty) {
        addExtras(current, 4);
      }
      if (current.end == End.NONE) {
        answer(current, exchange);
      }
      exchanges.add(exchange);
      // An upstream that ends its connection as the end of a body has read the request.
      boolean endsItself = response.framing() == FuzzedResponse.Framing.END_OF_CONNECTION;
      current.writes.holding = !endsItself && random.nextInt(6) == 0;
      current.used = !current.writes.holding;
      trace(() -> method + " " + id + " on " + wires.indexOf(current) + ", " + response);
      current.connection.send(
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/a/"), id, exchange);
    }

    private Wire connect() {
      Optional<UpstreamConnection> idle = upstream.takeIdle(0);
      if (idle.isPresent()) {
        return wires.stream().filter(it -> it.connection == idle.get()).findFirst().orElseThrow();
      }
      wires.add(new Wire(upstream));
      return wires.getLast();
    }

    private void answer(Wire wire, Exchange exchange) {
      FuzzedResponse response = exchange.response;
      boolean endsItself = response.framing() == FuzzedResponse.Framing.END_OF_CONNECTION;
      if (faulty && random.nextInt(6) == 0) {
        int cut = random.nextInt(response.bytes().length());
        wire.add(response.bytes().substring(0, cut));
        boolean withinHead = cut < response.headLength();
        if (withinHead && !wire.answered.isEmpty() && random.nextBoolean()) {
          String extra = oneOf(wire.answered).bytes();
          wire.add(extra.substring(0, 1 + random.nextInt(extra.length())));
        }
        wire.end = random.nextBoolean() ? End.RESET : withinHead ? End.REGULAR : End.NONE;
        if (wire.end == End.NONE && (!endsItself || random.nextBoolean())) {
          wire.end = endsItself ? End.RESET : End.REGULAR;
        }
        return;
      }
      wire.add(response.bytes());
      wire.answered.add(response);
      if (endsItself) {
        wire.end = faulty && random.nextInt(4) == 0 ? End.RESET : End.REGULAR;
        wire.marks.add(new Wire.Mark(Integer.MAX_VALUE, () -> exchange.whole = true));
        return;
      }
      wire.mark(() -> exchange.whole = true);
      if (faulty) {
        addExtras(wire, 3);
        if (random.nextInt(10) == 0) {
          wire.end = random.nextBoolean() ? End.REGULAR : End.RESET;
        }
      }
    }

    /** Adds bytes that belong to no request, in one of {@code oneIn} cases. */
    private void addExtras(Wire wire, int oneIn) {
      if (random.nextInt(oneIn) > 0) {
        return;
      }
      do {
        boolean copies = !wire.answered.isEmpty() && random.nextInt(6) > 0;
        wire.add(copies ? copy(oneOf(wire.answered)) : noResponse());
      } while (random.nextInt(3) == 0);
    }

    private FuzzedResponse oneOf(List<FuzzedResponse> answered) {
      return random.nextBoolean()
          ? answered.getLast()
          : answered.get(random.nextInt(answered.size()));
    }

    private String copy(FuzzedResponse response) {
      String bytes = response.bytes();
      int length = bytes.length();
      return switch (random.nextInt(8)) {
        case 0, 1 -> bytes;
        case 2 -> spoiled(bytes);
        case 3 -> bytes.substring(random.nextInt(length));
        case 4 -> bytes.substring(0, random.nextInt(length));
        default -> bytes.substring(0, random.nextInt(response.headLength()));
      };
    }

    private String spoiled(String bytes) {
      StringBuilder spoiled = new StringBuilder(bytes);
      for (int i = random.nextInt(3); i >= 0; i--) {
        spoiled.setCharAt(random.nextInt(spoiled.length()), (char) random.nextInt(256));
      }
      return spoiled.toString();
    }

    private String noResponse() {
      StringBuilder bytes = new StringBuilder();
      do {
        bytes.append(FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
      } while (random.nextInt(8) > 0);
      return bytes.toString();
    }
  }

  private static String quote(String text) {
    String start = text.substring(0, Math.min(text.length(), 600));
    return start.replace("\r", "\\r").replace("\n", "\\n").replace("\0", "\\0");
  }
}
