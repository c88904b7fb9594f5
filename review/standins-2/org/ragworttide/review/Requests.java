package org.ragworttide.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Clients that send requests at an even rate, each on a kept channel that rests or on a new one,
 * and wait for the answer until their deadline.
 */
final class Requests {
  private static final int CONNECT_MILLIS = 1_000;

  /** What became of a request: the status, 0 for a closed channel, -1 for none in time. */
  record Outcome(String id, int machine, long sentAtMillis, long endedAtMillis, int status) {}

  private record Kept(Socket socket, InputStream in) {}

  private final Journal journal;
  private final Fleet fleet;
  private final Supplier<String> ids;
  private final int deadlineMillis;
  private final Supplier<String> moreHeaders;
  private final Map<Integer, Deque<Kept>> resting = new HashMap<>();
  private final List<Outcome> outcomes = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  Requests(Journal journal, Fleet fleet, Supplier<String> ids, int deadlineMillis) {
    this(journal, fleet, ids, deadlineMillis, () -> "");
  }

  Requests(
      Journal journal,
      Fleet fleet,
      Supplier<String> ids,
      int deadlineMillis,
      Supplier<String> moreHeaders) {
    this.moreHeaders = moreHeaders;
    this.journal = journal;
    this.fleet = fleet;
    this.ids = ids;
    this.deadlineMillis = deadlineMillis;
  }

  /** Starts to send requests to a gateway. */
  void start(int machine, int perSecond, byte[] body) {
    threads.add(
        Thread.ofVirtual()
            .start(
                () -> {
                  long startNanos = System.nanoTime();
                  for (long sent = 0; !stopped; sent++) {
                    long atNanos = startNanos + sent * 1_000_000_000L / perSecond;
                    Io.sleep((atNanos - System.nanoTime()) / 1_000_000);
                    Thread request = Thread.ofVirtual().start(() -> send(machine, body));
                    synchronized (threads) {
                      threads.add(request);
                    }
                  }
                }));
  }

  /** Ends the sending and waits for the last answers. */
  void stop() throws InterruptedException {
    stopped = true;
    List<Thread> all;
    synchronized (threads) {
      all = new ArrayList<>(threads);
    }
    for (Thread thread : all) {
      thread.join(deadlineMillis + 5_000L);
    }
  }

  synchronized List<Outcome> outcomes() {
    return List.copyOf(outcomes);
  }

  private synchronized void record(Outcome outcome) {
    outcomes.add(outcome);
  }

  private synchronized Kept take(int machine) {
    Deque<Kept> idle = resting.get(machine);
    return idle == null ? null : idle.poll();
  }

  private synchronized void rest(int machine, Kept kept) {
    resting.computeIfAbsent(machine, key -> new ArrayDeque<>()).push(kept);
  }

  /** Sends a request and waits for its answer. */
  Outcome send(int machine, byte[] body) {
    String id = ids.get();
    long sentAtMillis = journal.now();
    int status = 0;
    Kept kept = take(machine);
    String channelKind = kept == null ? "new" : "kept";
    try {
      if (kept == null) {
        InetSocketAddress address = fleet.address(machine);
        Socket socket = new Socket();
        socket.connect(address, CONNECT_MILLIS);
        kept = new Kept(socket, Io.buffered(socket));
      }
      kept.socket().setSoTimeout(deadlineMillis);
      status = exchange(kept, id, body, machine);
    } catch (java.net.SocketTimeoutException e) {
      status = -1;
      Io.close(kept.socket());
    } catch (IOException e) {
      if (kept != null) {
        Io.close(kept.socket());
      }
    }
    Outcome outcome = new Outcome(id, machine, sentAtMillis, journal.now(), status);
    journal.add(
        "client: %s sent at %d to gateway %d on a %s channel: %s",
        id,
        sentAtMillis,
        machine,
        channelKind,
        status == 0 ? "channel closed" : status < 0 ? "no answer in time" : "status " + status);
    record(outcome);
    return outcome;
  }

  private int exchange(Kept kept, String id, byte[] body, int machine) throws IOException {
    Io.write(
        kept.socket().getOutputStream(),
        "POST /desk/booking HTTP/1.1\r\nHost: "
            + Case.HOST
            + "\r\n"
            + Wire.name("requestId")
            + ": "
            + id
            + "\r\n"
            + Wire.name("deadline")
            + ": "
            + deadlineMillis
            + "\r\nAuthorization: Token "
            + Case.KEY
            + "\r\n"
            + moreHeaders.get()
            + "Content-Length: "
            + body.length
            + "\r\n\r\n");
    kept.socket().getOutputStream().write(body);
    Message answer = Message.read(kept.in());
    if (answer == null) {
      throw new IOException("closed without an answer");
    }
    answer.body(kept.in());
    if (answer.header("connection").equalsIgnoreCase("close")) {
      kept.socket().close();
    } else {
      rest(machine, kept);
    }
    return answer.status();
  }
}
