import java.io.IOException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound server of a plain service: it runs a few requests at once, queues a few more and sheds the rest. A case may
 * let it send bytes of no request after some of its answers.
 */
final class PlainServer {
  /** Returns the bytes that follow the answer where the next one is due, empty for none. */
  interface Extra {
    String after(String answer, boolean shed);
  }

  final Server server;
  final AtomicInteger answers = new AtomicInteger();
  final AtomicInteger spoiled = new AtomicInteger();
  private final Review review;
  private final Semaphore slots;
  private final AtomicInteger present = new AtomicInteger();
  private final int capacity;
  private final int workMillis;
  private final boolean shedsWithId;
  private final boolean late;
  private final Extra extra;

  PlainServer(
      Review review, String id, String service, int slots, int queue, int workMillis, boolean shedsWithId,
      boolean late, Extra extra)
      throws IOException {
    this.review = review;
    this.slots = new Semaphore(slots);
    this.capacity = slots + queue;
    this.workMillis = workMillis;
    this.shedsWithId = shedsWithId;
    this.late = late;
    this.extra = extra;
    this.server = new Server(review, id, service, 0, this::handle);
    review.publish(id, service, server.port(), slots);
  }

  private boolean handle(Server.Channel channel, Http.Head head) throws Exception {
    Http.readBody(channel.in, head, false, (bytes, length) -> {});
    if (server.health(channel, head)) {
      return true;
    }
    if (channel.extra.length > 0) {
      review.note("server " + server.id + ": sends the extra bytes where the next answer is due");
      channel.out.write(channel.extra);
      channel.out.flush();
      channel.extra = new byte[0];
    }
    if (present.incrementAndGet() > capacity) {
      present.decrementAndGet();
      String id = shedsWithId ? "@-Request-Id: " + head.header("@-Request-Id") + "\r\n" : "";
      answer(
          channel,
          "HTTP/1.1 503 Service Unavailable\r\n@-Not-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n",
          true);
      return true;
    }
    slots.acquire();
    try {
      server.ran(head);
      Thread.sleep(workMillis);
    } finally {
      slots.release();
      present.decrementAndGet();
    }
    String body = "booked " + head.header("@-Request-Id");
    answer(
        channel,
        "HTTP/1.1 200 OK\r\n" + Server.headers(head, "seal-" + head.header("@-Request-Id"))
            + "Content-Length: " + body.length() + "\r\n\r\n" + body,
        false);
    return true;
  }

  private void answer(Server.Channel channel, String answer, boolean shed) throws IOException {
    answers.incrementAndGet();
    String more = review.trouble ? extra.after(answer, shed) : "";
    if (!more.isEmpty()) {
      spoiled.incrementAndGet();
      review.note(
          "server " + server.id + ": extra bytes after an answer with status " + answer.substring(9, 12) + " ("
              + spoiled.get() + " of " + answers.get() + " answers)");
    }
    if (late) {
      channel.write(answer);
      channel.extra = Review.bytes(more);
    } else {
      channel.write(answer + more);
    }
  }
}
