package org.ragworttide.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.ragworttide.coordination.time.TimerService;

/**
 * Clock and timers of the gateway's event loop, on which all callbacks run. Safe for use by any
 * thread.
 */
public final class LoopTimer implements TimerService {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop loop;

  /** Creates the timer service of the event loop. */
  public LoopTimer(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public long nowMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    return cancelling(loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS));
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    return cancelling(
        loop.scheduleWithFixedDelay(task, periodMillis, periodMillis, TimeUnit.MILLISECONDS));
  }

  private static Subscription cancelling(Future<?> scheduled) {
    return () -> scheduled.cancel(false);
  }
}
