package org.ragworttide.daemon.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a dedicated thread, so that a blocked output delays no request.
 *
 * <p>Invariants: a line is dropped and counted when the queue is full; publishing never blocks;
 * flushing blocks for a limited time. Safe for use by any thread.
 */
public final class QueueingHandler extends Handler {
  /** Longest time for which a flush waits; the output of a process that exits may be blocked. */
  private static final long FLUSH_MILLIS = 100;

  private final BlockingQueue<LogRecord> queue;
  private final OutputStream output;
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong accepted = new AtomicLong();
  private volatile long written;

  /**
   * Creates a handler and starts its thread.
   *
   * @param output receives the lines
   * @param formatter formats the lines
   * @param capacity the maximum number of queued lines
   */
  public QueueingHandler(OutputStream output, Formatter formatter, int capacity) {
    this.output = output;
    this.queue = new ArrayBlockingQueue<>(capacity);
    setFormatter(formatter);
    Thread writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Returns a handler that writes to standard output. */
  static QueueingHandler toStandardOutput(Formatter formatter, int capacity) {
    return new QueueingHandler(new FileOutputStream(FileDescriptor.out), formatter, capacity);
  }

  /** Returns the number of dropped lines. */
  public long dropped() {
    return dropped.get();
  }

  @Override
  public void publish(LogRecord line) {
    if (!isLoggable(line)) {
      return;
    }
    accepted.incrementAndGet();
    if (!queue.offer(line)) {
      accepted.decrementAndGet();
      dropped.incrementAndGet();
    }
  }

  /** Waits until the lines that have been published are written, for 100 ms at most. */
  @Override
  public void flush() {
    long target = accepted.get();
    long startNanos = System.nanoTime();
    try {
      while (written < target
          && System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLIS)) {
        Thread.sleep(1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {}

  private void write() {
    long reported = 0;
    long lines = 0;
    try {
      while (true) {
        output.write(getFormatter().format(queue.take()).getBytes(StandardCharsets.UTF_8));
        lines++;
        written = lines;
        long now = dropped.get();
        if (now > reported) {
          String text = "RWT1006 log lines dropped so far: " + now;
          LogRecord line = new LogRecord(java.util.logging.Level.WARNING, text);
          line.setLoggerName("org.ragworttide");
          output.write(getFormatter().format(line).getBytes(StandardCharsets.UTF_8));
          reported = now;
        }
      }
    } catch (IOException e) {
      dropped.incrementAndGet();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
