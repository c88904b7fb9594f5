import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** One server of six crashes while it answers a long booking, early and without a length. */
final class CaseUnframedReset {
  private static final int BODY_BYTES = 4_000_000;
  private static final int ANSWER_BYTES = 4_800;
  /** Each client sends one long booking among this many. */
  private static final int EACH = 30;

  private static final int BEGINNING_BYTES = 20_000;

  public static void main(String[] args) {
    Review.run(
        args,
        review -> {
          review.service("desk-app", false);
          review.route("puxa403", "unsafe", false, 5_000, 1, "desk-app");
          review.configure();
          List<Crashing> servers = new ArrayList<>();
          for (int i = 1; i <= 6; i++) {
            servers.add(new Crashing(review, "i-" + i));
          }
          review.startGateways(2);
          ConcurrentLinkedQueue<Caller.Answer> answers = new ConcurrentLinkedQueue<>();
          List<Thread> clients = new ArrayList<>();
          long until = System.nanoTime() + 9_000_000_000L;
          for (int i = 0; i < 12; i++) {
            int first = 5 * i;
            Review.Gateway gateway = review.gateways.get(i % 2);
            clients.add(
                Review.daemon(
                    () -> {
                      byte[] body = new byte[BODY_BYTES];
                      java.util.Arrays.fill(body, (byte) 'b');
                      try (Caller caller = new Caller(review, gateway)) {
                        for (int sent = 0; System.nanoTime() < until; sent++) {
                          byte[] next = (sent + first) % EACH == 0 ? body : Review.bytes("a booking");
                          answers.add(caller.send(Caller.nextId(), "POST", "/puxa403/book", next, 5_000));
                          Review.sleep(20);
                        }
                      }
                    }));
          }
          Review.sleep(3_000);
          if (review.trouble) {
            Review.await(5_000, () -> servers.get(0).answering.get() > 0);
            Review.sleep(100);
            servers.get(0).crash();
          }
          for (Thread client : clients) {
            client.join();
          }
          long whole = answers.stream().filter(it -> it.status() == 200 && it.body().length == ANSWER_BYTES).count();
          long partial = 0;
          for (Caller.Answer answer : answers) {
            if (answer.status() == 200 && answer.complete() && answer.body().length < ANSWER_BYTES) {
              partial++;
              review.note(
                  "MIXED " + answer.id() + " was answered 200, seal " + answer.seal() + ", as complete with "
                      + answer.body().length + " of " + ANSWER_BYTES + " bytes");
            }
          }
          review.note(
              "COUNT " + answers.size() + " bookings, " + servers.get(0).cut.get() + " cut by the crash, "
                  + servers.stream().mapToInt(it -> it.early.get()).sum() + " of "
                  + servers.stream().mapToInt(it -> it.answers.get()).sum() + " answers early and without a length, "
                  + whole + " whole answers, " + partial + " incomplete answers that look complete");
          if (whole == 0) {
            throw new Review.CannotRun("no booking was answered");
          }
          return partial == 0;
        });
  }

  /** A server that begins its answer before it has read the body, and may crash. */
  private static final class Crashing {
    final AtomicInteger answering = new AtomicInteger();
    final AtomicInteger cut = new AtomicInteger();
    final AtomicInteger answers = new AtomicInteger();
    final AtomicInteger early = new AtomicInteger();
    private final Set<Server.Channel> open = ConcurrentHashMap.newKeySet();
    private final Review review;
    private final Server server;
    private volatile boolean crashed;

    Crashing(Review review, String id) throws IOException {
      this.review = review;
      this.server = new Server(review, id, "desk-app", 16_384, this::handle);
      review.publish(id, "desk-app", server.port(), 6);
    }

    /** The process is killed: its channels end, and those with unread bytes are reset by the system. */
    void crash() throws IOException {
      crashed = true;
      review.note("server " + server.id + ": crashes while it answers " + answering.get() + " requests");
      server.stop();
      for (Server.Channel channel : open) {
        channel.socket.close();
      }
      review.stopPublishing(server.id);
    }

    private boolean handle(Server.Channel channel, Http.Head head) throws Exception {
      if (server.health(channel, head)) {
        return true;
      }
      String answer = "a".repeat(ANSWER_BYTES);
      long length = Long.parseLong(head.header("Content-Length"));
      if (length < BEGINNING_BYTES) {
        channel.in.skipNBytes(length);
        server.ran(head);
        Thread.sleep(86);
        answers.incrementAndGet();
        channel.write(
            "HTTP/1.1 200 OK\r\n" + Server.headers(head, "seal") + "Content-Length: " + ANSWER_BYTES + "\r\n\r\n"
                + answer);
        return true;
      }
      open.add(channel);
      answers.incrementAndGet();
      early.incrementAndGet();
      channel.in.readNBytes(BEGINNING_BYTES);
      server.ran(head);
      channel.write(
          "HTTP/1.1 200 OK\r\n" + Server.headers(head, "seal") + "\r\n" + answer.substring(0, ANSWER_BYTES / 2));
      answering.incrementAndGet();
      try {
        Thread.sleep(300);
        channel.in.skipNBytes(length - BEGINNING_BYTES);
        channel.write(answer.substring(ANSWER_BYTES / 2));
        open.remove(channel);
      } catch (SocketException e) {
        if (crashed) {
          cut.incrementAndGet();
          review.note("server " + server.id + ": its answer to " + head.header("@-Request-Id") + " is cut");
        }
        throw e;
      } finally {
        answering.decrementAndGet();
      }
      return false;
    }
  }
}
