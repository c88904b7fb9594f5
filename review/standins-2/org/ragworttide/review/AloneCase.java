package org.ragworttide.review;

import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All six machines are lost at the same moment. Three come back; the other three, which the seeds
 * name, stay down. Later an empty server is added, which is cold.
 */
final class AloneCase extends Case {
  private static final int MACHINES = 6;
  private static final int SEEDS = 3;
  private static final int PER_SECOND = 40;
  private static final int DEADLINE_MILLIS = 3_000;
  private static final long COLD_MILLIS = 3_000;

  /** A cold server's bound: 10 x 1.5 + 5. */
  private static final int MOST_IN_A_SECOND = 20;

  private final AtomicInteger sessions = new AtomicInteger();

  AloneCase(Path root, Path folder, boolean trouble) throws Exception {
    super(root, folder, trouble, MACHINES);
  }

  /** Answers with a stream of one event. */
  private record ShortStream(PlainWork plain) implements Upstream.Work {
    @Override
    public void run(Upstream server, Message request, OutputStream out) throws Exception {
      plain.arrive(server, request);
      Io.sleep(60);
      Io.write(
          out,
          server.head(request, "200 OK")
              + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
              + "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n");
    }
  }

  private String prompt() {
    int session = sessions.incrementAndGet();
    return String.format(
        "%s: m\r\n%s: 460,10\r\n%s: 5c1e07a2:100,%x:250,%x:110\r\n",
        Wire.name("model"),
        Wire.name("tokens"),
        Wire.name("parts"),
        0x10000000 + session,
        0x20000000 + session);
  }

  @Override
  boolean play() throws Exception {
    PlainWork plain = new PlainWork(journal, 60);
    ShortStream work = new ShortStream(plain);
    configure(
        7,
        "pool",
        route(
            "triage",
            "/desk/",
            "pool",
            "\"kind\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":600,"
                + "\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400"));
    long bornMillis = System.currentTimeMillis() - TimeUnit.HOURS.toMillis(1);
    for (int i = 0; i < 2; i++) {
      Upstream server = server("127.0.1." + (31 + i), "i-7f3a91c" + i, "pool", i, "v1", work);
      store.put(Wire.name("servers") + server.id(), server.entry("ready", 96, bornMillis, 9));
    }
    fleet.startAll();
    Io.sleep(4_000);
    if (trouble) {
      for (int i = 0; i < MACHINES; i++) {
        fleet.kill(i);
      }
      for (int i = 0; i < MACHINES; i++) {
        fleet.awaitEnd(i);
      }
      for (int i = SEEDS; i < MACHINES; i++) {
        fleet.start(i);
      }
    }
    Io.sleep(2_000);
    Requests requests =
        new Requests(journal, fleet, this::nextRequestId, DEADLINE_MILLIS, this::prompt);
    for (int i = SEEDS; i < MACHINES; i++) {
      requests.start(i, PER_SECOND, new byte[600]);
    }
    Io.sleep(12_000);
    Upstream added = server("127.0.1.41", "i-02d9e6b4", "pool", 2, "v1", work);
    long coldFromMillis = journal.now();
    added.becomeCold(COLD_MILLIS);
    store.put(
        Wire.name("servers") + added.id(), added.entry("ready", 96, System.currentTimeMillis(), 1));
    Io.sleep(COLD_MILLIS);
    long coldUntilMillis = journal.now();
    Io.sleep(1_000);
    requests.stop();
    List<Long> arrivals = plain.arrivals(added.id());
    int most = PlainWork.most(arrivals, coldFromMillis, coldUntilMillis, 1_000);
    long served = requests.outcomes().stream().filter(it -> it.status() == 200).count();
    journal.say(
        "the cold server got up to %d requests in one second (rule: at most %d); %d of %d requests"
            + " served",
        most, MOST_IN_A_SECOND, served, requests.outcomes().size());
    if (served * 2 < requests.outcomes().size()) {
      throw new IllegalStateException("the case could not run");
    }
    return most <= MOST_IN_A_SECOND;
  }
}
