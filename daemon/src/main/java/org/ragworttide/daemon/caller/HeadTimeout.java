package org.ragworttide.daemon.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Channel handler that limits the time from the first byte of a request's head to its last.
 *
 * <p>Invariant: time before the first byte of a head does not count. Each connection has its own
 * instance, used only by its event loop.
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
    stopWaitingForHead();
    ctx.fireChannelInactive();
  }

  /** Stops the timer after a head was decoded or the connection was closed. */
  void stopWaitingForHead() {
    expectingHead = false;
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  /** Records that a complete request was received, so that the next byte begins a head. */
  void onRequestReceived() {
    expectingHead = true;
  }
}
