package org.ragworttide.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import java.util.function.Supplier;

/**
 * A client that reads one stream. When the channel breaks, it takes the stream up again on a new
 * channel: it names the last event and its attempt that received the first one.
 */
final class StreamCaller {
  private static final int MAX_TRIES = 4;

  /** Milliseconds before a client takes its stream up again. */
  private static final long RETRY_MILLIS = 200;

  /** One attempt of the client: where and when it was sent, and the events that it brought. */
  record Attempt(int machine, long sentAtMillis, boolean takesUp, int status, int events) {}

  private final Journal journal;
  private final String name;
  private final long deadlineMillis;
  private final Supplier<String> ids;
  private final Fleet fleet;
  private final IntUnaryOperator machines;

  /** The version that made each event, by the event's id. */
  final TreeMap<Integer, String> events = new TreeMap<>();

  final Set<String> versions = new LinkedHashSet<>();
  volatile boolean complete;
  volatile int takenUp;
  final List<Attempt> attempts = new ArrayList<>();
  private int lastStatus;
  private String firstRequestId = "";

  StreamCaller(
      Journal journal,
      String name,
      long deadlineMillis,
      Supplier<String> ids,
      Fleet fleet,
      IntUnaryOperator machines) {
    this.journal = journal;
    this.name = name;
    this.deadlineMillis = deadlineMillis;
    this.ids = ids;
    this.fleet = fleet;
    this.machines = machines;
  }

  void run() {
    long endMillis = journal.now() + deadlineMillis;
    for (int attempt = 0; attempt < MAX_TRIES && !complete; attempt++) {
      long left = endMillis - journal.now();
      if (left < 500) {
        return;
      }
      String id = ids.get();
      int machine = machines.applyAsInt(attempt);
      long sentAtMillis = journal.now();
      boolean takesUp = !events.isEmpty();
      int before = events.size();
      lastStatus = 0;
      try (Socket channel = new Socket()) {
        channel.connect(fleet.address(machine), 1_000);
        channel.setSoTimeout((int) left);
        attempt(channel, id, left, machine);
      } catch (IOException e) {
        journal.add("%s: attempt %s broke, %s, after event %s", name, id, e.getMessage(), last());
        Io.sleep(RETRY_MILLIS);
      }
      synchronized (attempts) {
        attempts.add(
            new Attempt(machine, sentAtMillis, takesUp, lastStatus, events.size() - before));
      }
    }
  }

  private String last() {
    return events.isEmpty() ? "none" : events.lastKey().toString();
  }

  private void attempt(Socket channel, String id, long leftMillis, int machine) throws IOException {
    boolean continues = !events.isEmpty();
    String request =
        "POST /desk/chat HTTP/1.1\r\nHost: "
            + Case.HOST
            + "\r\n"
            + Wire.name("requestId")
            + ": "
            + id
            + "\r\n"
            + Wire.name("model")
            + ": m\r\n"
            + Wire.name("tokens")
            + ": 713,280\r\n"
            + Wire.name("parts")
            + ": 5c1e07a2:603,"
            + Integer.toHexString(name.hashCode())
            + ":110\r\n"
            + Wire.name("deadline")
            + ": "
            + leftMillis
            + "\r\nAuthorization: Token "
            + Case.KEY
            + "\r\nContent-Length: 4\r\n"
            + (continues
                ? Wire.name("resumeAfter")
                    + ": "
                    + events.lastKey()
                    + "\r\n"
                    + Wire.name("firstRequest")
                    + ": "
                    + firstRequestId
                    + "\r\n"
                : "")
            + "\r\nchat";
    Io.write(channel.getOutputStream(), request);
    if (continues) {
      takenUp++;
      journal.add(
          "%s: takes up after event %s at gateway %d as %s, first %s",
          name, last(), machine, id, firstRequestId);
    }
    InputStream in = Io.buffered(channel);
    Message answer = Message.read(in);
    if (answer == null) {
      throw new IOException("closed without an answer");
    }
    lastStatus = answer.status();
    if (answer.status() != 200) {
      journal.add("%s: attempt %s answered %s", name, id, answer.first());
      String wait = answer.header("retry-after");
      Io.sleep(wait.isEmpty() ? RETRY_MILLIS : (long) (1_000 * Double.parseDouble(wait)));
      return;
    }
    read(answer, in, id);
  }

  private void read(Message answer, InputStream in, String id) throws IOException {
    StringBuilder pending = new StringBuilder();
    for (byte[] part = answer.part(in, 0); part.length > 0; part = answer.part(in, 0)) {
      pending.append(new String(part, StandardCharsets.UTF_8));
      for (int end = pending.indexOf("\n\n"); end >= 0; end = pending.indexOf("\n\n")) {
        add(pending.substring(0, end), id);
        pending.delete(0, end + 2);
      }
    }
    complete = true;
  }

  private void add(String event, String id) {
    String[] lines = event.split("\n");
    int number = Integer.parseInt(lines[0].substring("id: ".length()));
    String version = lines[1].substring("data: ".length()).split(" ")[0];
    if (events.isEmpty()) {
      firstRequestId = id;
    }
    if (versions.add(version)) {
      journal.add("%s: event %d is the first of %s, attempt %s", name, number, lines[1], id);
    }
    events.put(number, version);
  }
}
