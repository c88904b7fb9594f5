package org.ragworttide.gateway.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Starts a timer at the first byte of a request and runs a callback if the request's headers have
 * not been received completely within the timeout. Confined to the event loop.
 */
final class HeadTimeoutHandler extends ChannelInboundHandlerAdapter {
  private final LongSupplier timeoutMillis;
  private final Runnable onTimeout;
  private io.netty.util.concurrent.Future<?> timer;
  private boolean awaitingHead = true;

  HeadTimeoutHandler(LongSupplier timeoutMillis, Runnable onTimeout) {
    this.timeoutMillis = timeoutMillis;
    this.onTimeout = onTimeout;
  }

  /** Stops the timer because the headers have been received. */
  void headComplete() {
    awaitingHead = false;
    cancel();
  }

  /** Expects the next request, because the current one has been received completely. */
  void requestComplete() {
    awaitingHead = true;
  }

  /** Returns whether a part of a request's headers has been received in time. */
  boolean isReceiving() {
    return timer != null && !timer.isDone();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (awaitingHead && timer == null) {
      timer = ctx.executor().schedule(onTimeout, timeoutMillis.getAsLong(), TimeUnit.MILLISECONDS);
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancel();
    ctx.fireChannelInactive();
  }

  private void cancel() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
