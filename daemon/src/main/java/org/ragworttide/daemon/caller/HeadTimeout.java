package org.ragworttide.daemon.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the time from the first byte of a request's head to its last.
 *
 * <p>Invariant: time without any byte of a head does not count. One instance a connection, used by
 * its event loop only.
 */
final class HeadTimeout extends ChannelInboundHandlerAdapter {
  private final long limitMillis;
  private final Runnable onTimeout;
  private boolean expectingHead = true;
  private Future<?> timer;

  HeadTimeout(long limitMillis, Runnable onTimeout) {
    this.limitMillis = limitMillis;
    this.onTimeout = onTimeout;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (expectingHead && timer == null) {
      timer = ctx.executor().schedule(onTimeout, limitMillis, TimeUnit.MILLISECONDS);
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    headCame();
    ctx.fireChannelInactive();
  }

  /** Notes that a head was decoded. */
  void headCame() {
    expectingHead = false;
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  /** Notes that a request was received whole, so that the next bytes begin a head. */
  void requestCame() {
    expectingHead = true;
  }
}
