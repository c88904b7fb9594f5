package org.ragworttide.gateway.feed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.ragworttide.coordination.feed.ChangeLog;
import org.ragworttide.coordination.feed.FeedStatus;
import org.ragworttide.coordination.feed.RetainedChange;
import org.ragworttide.coordination.feed.StorePosition;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;

/**
 * Sends the changes of the store to the VMs that follow this one.
 *
 * <p>Invariants: only known VMs are served; the bytes that wait for a slow VM are bounded, since it
 * receives nothing more until it has read them. Confined to the event loop.
 */
final class FeedServer {
  /** Size of a request: the revision and the era that the follower knows. */
  static final int REQUEST_BYTES = 2 * Long.BYTES;

  /** Size of a request of earlier builds, which has no era. */
  private static final int REQUEST_BYTES_WITHOUT_ERA = Long.BYTES;

  private static final int MAX_REQUEST_BYTES = 64;

  private static final int LENGTH_BYTES = 4;

  /** Bytes that wait for a VM above which it receives nothing more. */
  private static final int MAX_WAITING_BYTES = 64 * 1_024;

  /** Milliseconds for which sent bytes may stay unacknowledged before a connection is closed. */
  private static final int UNACKNOWLEDGED_TIMEOUT_MILLIS = 1_500;

  /** Most VMs that follow one VM; in a tree whose members agree it is a fraction of this. */
  private static final int MAX_FOLLOWERS = 128;

  private final ChangeLog log;
  private final TimerService time;
  private final Predicate<InetAddress> isMember;
  private final Map<Channel, Sent> sentTo = new HashMap<>();
  private Runnable subscribed = () -> {};
  private PeerConnectionHandler otherConnections = (ctx, message) -> false;

  /** What a follower knows: all changes up to a position and so many retained ones. */
  private record Sent(StorePosition position, long retainedAdditions) {
    private Sent next(ChangeLog log) {
      StorePosition later = log.position().isAfter(position) ? log.position() : position;
      return new Sent(later, log.retainedAdditions());
    }
  }

  FeedServer(ChangeLog log, TimerService time, Predicate<InetAddress> isMember) {
    this.log = log;
    this.time = time;
    this.isMember = isMember;
  }

  void start(EventLoop loop, Class<? extends ServerChannel> type, InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(type)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new LengthFieldBasedFrameDecoder(
                                MAX_REQUEST_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new Follower());
                  }
                });
    if (EpollServerSocketChannel.class.isAssignableFrom(type)) {
      bootstrap.childOption(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLIS);
    }
    bootstrap.bind(address).syncUninterruptibly();
  }

  /** Sets the callback for a VM that begins to follow this one. */
  void onSubscribed(Runnable callback) {
    subscribed = callback;
  }

  /** Sets the handler of connections whose first message is no request of a follower. */
  void setOtherConnections(PeerConnectionHandler handler) {
    otherConnections = handler;
  }

  /** Sends each follower the changes that it lacks and the status. */
  void send(FeedStatus status) {
    Map<Sent, ByteBuf> encoded = new HashMap<>();
    for (Map.Entry<Channel, Sent> follower : sentTo.entrySet()) {
      Channel channel = follower.getKey();
      if (channel.isActive() && waitingBytes(channel) <= MAX_WAITING_BYTES) {
        ByteBuf message =
            encoded.computeIfAbsent(
                follower.getValue(), sent -> Unpooled.wrappedBuffer(message(sent, status)));
        channel.writeAndFlush(message.retainedDuplicate());
        follower.setValue(follower.getValue().next(log));
      }
    }
    encoded.values().forEach(ByteBuf::release);
  }

  private byte[] message(Sent sent, FeedStatus status) {
    long now = time.nowMillis();
    boolean hasAllRetained = sent.retainedAdditions() == log.retainedAdditions();
    List<RetainedChange> retained = hasAllRetained ? List.of() : log.retained(now);
    return new FeedMessage(log.changesAfter(sent.position(), now), retained, status).encode();
  }

  int followers() {
    return sentTo.size();
  }

  private static long waitingBytes(Channel channel) {
    return channel.unsafe().outboundBuffer() == null
        ? 0
        : channel.unsafe().outboundBuffer().totalPendingWriteBytes();
  }

  /** Handles the connection of one follower. Confined to the event loop. */
  private final class Follower extends SimpleChannelInboundHandler<ByteBuf> {

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      InetSocketAddress remote = (InetSocketAddress) ctx.channel().remoteAddress();
      if (!isMember.test(remote.getAddress()) || sentTo.size() >= MAX_FOLLOWERS) {
        EventLog.log(LogEvent.PEER_FRAME_REFUSED, remote, "not a known VM, or too many follow");
        ctx.close();
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf request) {
      if (!sentTo.containsKey(ctx.channel()) && otherConnections.accept(ctx, request)) {
        return;
      }
      int size = request.readableBytes();
      if (size != REQUEST_BYTES && size != REQUEST_BYTES_WITHOUT_ERA) {
        EventLog.log(
            LogEvent.PEER_FRAME_REFUSED, ctx.channel().remoteAddress(), "malformed request");
        ctx.close();
        return;
      }
      long revision = Math.max(0, request.readLong());
      long era = size == REQUEST_BYTES ? Math.max(0, request.readLong()) : 0;
      sentTo.put(ctx.channel(), new Sent(new StorePosition(era, revision), 0));
      subscribed.run();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      sentTo.remove(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      EventLog.log(LogEvent.PEER_FRAME_REFUSED, ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
