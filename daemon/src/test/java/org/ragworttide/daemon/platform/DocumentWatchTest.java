package org.ragworttide.daemon.platform;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Tests the watch of a published document. */
public class DocumentWatchTest {
  private static final long TIMEOUT_SECONDS = 20;

  /** Guards against a document that ends the reading of all later ones. */
  @Test
  public void versionsAfterOneThatTheListenerCannotHandleAreRead() throws InterruptedException {
    AtomicLong version = new AtomicLong();
    DisposableServer service =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle(
                (request, response) ->
                    response
                        .header("Version", Long.toString(version.incrementAndGet()))
                        .sendString(Mono.just("document")))
            .bindNow();
    LinkedBlockingQueue<Long> handled = new LinkedBlockingQueue<>();
    PlatformClient client = new PlatformClient("127.0.0.1:" + service.port());
    Disposable watch =
        new DocumentWatch(client, "document", () -> true, reply -> handle(reply, handled)).start();
    try {
      assertEquals(handled.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), Long.valueOf(2));
      assertEquals(handled.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), Long.valueOf(3));
    } finally {
      watch.dispose();
      service.disposeNow();
    }
  }

  private static void handle(PlatformReply reply, LinkedBlockingQueue<Long> handled) {
    if (reply instanceof PlatformReply.Published published) {
      if (published.version() == 1) {
        throw new IllegalArgumentException("document cannot be handled");
      }
      handled.add(published.version());
    }
  }
}
