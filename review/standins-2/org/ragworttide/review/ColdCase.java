package org.ragworttide.review;

import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is down. Meanwhile one of two servers becomes cold again, which its health path says.
 */
final class ColdCase extends Case {
  private static final int PER_SECOND = 30;
  private static final int DEADLINE_MILLIS = 1_500;
  private static final long COLD_MILLIS = 3_000;

  /** A cold server's bound: 10 x 1.5 + 5. */
  private static final int MOST_IN_A_SECOND = 20;

  /** Requests in a second, four times what it tolerates, at which the cold server crashes. */
  private static final int CRASHES_AT = 40;

  ColdCase(Path root, Path folder, boolean trouble) throws Exception {
    super(root, folder, trouble, 3);
  }

  private static final class ColdWork implements Upstream.Work {
    private final PlainWork plain;

    private final AtomicInteger gotWhileCold = new AtomicInteger();

    private ColdWork(PlainWork plain) {
      this.plain = plain;
    }

    @Override
    public void run(Upstream server, Message request, OutputStream out) throws Exception {
      plain.arrive(server, request);
      int lately = server.isCold() ? gotWhileCold.incrementAndGet() : 0;
      if (lately >= CRASHES_AT) {
        server.crash();
        return;
      }
      plain.answer(server, request, out, "");
    }
  }

  @Override
  boolean play() throws Exception {
    PlainWork plain = new PlainWork(journal, 60);
    ColdWork work = new ColdWork(plain);
    configure(
        7,
        "desk",
        route(
            "booking",
            "/desk/",
            "desk",
            "\"kind\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"maxAttempts\":1"));
    long bornMillis = System.currentTimeMillis() - TimeUnit.HOURS.toMillis(1);
    Upstream turned = null;
    for (int i = 0; i < 2; i++) {
      Upstream server = server("127.0.1." + (31 + i), "i-02d9e6b" + i, "desk", i, "v1", work);
      store.put(Wire.name("servers") + server.id(), server.entry("ready", 24, bornMillis, 9));
      turned = turned == null ? server : turned;
    }
    fleet.startAll();
    Requests requests = new Requests(journal, fleet, this::nextRequestId, DEADLINE_MILLIS);
    for (int i = 0; i < fleet.size(); i++) {
      requests.start(i, PER_SECOND, new byte[600]);
    }
    Io.sleep(6_000);
    if (trouble) {
      store.setDown(true);
      Io.sleep(2_000);
    }
    long coldFromMillis = journal.now();
    turned.becomeCold(COLD_MILLIS);
    if (!trouble) {
      // With the store in service, the server writes at once that it is cold.
      store.put(Wire.name("servers") + turned.id(), turned.entry("ready", 24, bornMillis, 10));
      coldFromMillis += 300;
    }
    Io.sleep(COLD_MILLIS);
    long coldUntilMillis = journal.now();
    Io.sleep(500);
    if (trouble) {
      store.setDown(false);
    }
    Io.sleep(2_000);
    requests.stop();
    List<Long> arrivals = plain.arrivals(turned.id());
    int most = PlainWork.most(arrivals, coldFromMillis, coldUntilMillis, 1_000);
    long failed =
        requests.outcomes().stream().filter(it -> it.status() != 200 && it.status() != 503).count();
    journal.say(
        "the cold server got up to %d requests in one second (rule: at most %d); of %d requests %d"
            + " ended with neither success nor a refusal",
        most, MOST_IN_A_SECOND, requests.outcomes().size(), failed);
    if (requests.outcomes().size() < 500 || !trouble && failed > 0) {
      throw new IllegalStateException("the case could not run");
    }
    return most <= MOST_IN_A_SECOND;
  }
}
