package org.ragworttide.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

/** Tests the handler with a blocked output. */
public class QueueingHandlerTest {
  private static final int CAPACITY = 8;

  /** Output that blocks writes until it is released. */
  private static final class BlockedOutput extends OutputStream {
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    @Override
    public void write(int value) {
      reached.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static LogRecord line(int number) {
    LogRecord line = new LogRecord(Level.INFO, "line " + number);
    line.setLoggerName("test");
    return line;
  }

  @Test(timeOut = 60_000)
  public void blockedOutputDoesNotBlockPublishAndDroppedLinesAreCounted()
      throws InterruptedException {
    BlockedOutput output = new BlockedOutput();
    QueueingHandler handler = new QueueingHandler(output, new LogSetup.JsonFormat(), CAPACITY);
    handler.publish(line(0));
    assertTrue(output.reached.await(30, TimeUnit.SECONDS));
    for (int i = 0; i < 100; i++) {
      handler.publish(line(i));
    }
    assertEquals(handler.dropped(), 100 - CAPACITY);
    output.released.countDown();
  }

  /** Guards against a last line that is lost because the process exits before it is written. */
  @Test(timeOut = 60_000)
  public void publishedLinesAreWrittenOnceFlushed() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    QueueingHandler handler = new QueueingHandler(output, new LogSetup.JsonFormat(), 100);
    for (int i = 0; i < 100; i++) {
      handler.publish(line(i));
      handler.flush();
      assertTrue(output.toString(StandardCharsets.UTF_8).contains("line " + i));
    }
  }

  @Test(timeOut = 60_000)
  public void flushOfBlockedOutputReturns() throws InterruptedException {
    BlockedOutput output = new BlockedOutput();
    QueueingHandler handler = new QueueingHandler(output, new LogSetup.JsonFormat(), CAPACITY);
    handler.publish(line(0));
    assertTrue(output.reached.await(30, TimeUnit.SECONDS));
    handler.flush();
    output.released.countDown();
  }
}
