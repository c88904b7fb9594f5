package org.ragworttide.gateway.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Notes when the first byte of a request arrives and calls back if its head isn't in within the
 * limit. Confined to the event loop.
 */
final class SlowHeadGuard extends ChannelInboundHandlerAdapter {
  private final LongSupplier limitMillis;
  private final Runnable late;
  private io.netty.util.concurrent.Future<?> timer;
  private boolean awaitingHead = true;

  SlowHeadGuard(LongSupplier limitMillis, Runnable late) {
    this.limitMillis = limitMillis;
    this.late = late;
  }

  /** Notes that a head is in: nothing is late until the next request begins. */
  void headComplete() {
    awaitingHead = false;
    cancel();
  }

  /** Notes that the request is whole: the next byte begins a head. */
  void requestComplete() {
    awaitingHead = true;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (awaitingHead && timer == null) {
      timer = ctx.executor().schedule(late, limitMillis.getAsLong(), TimeUnit.MILLISECONDS);
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
