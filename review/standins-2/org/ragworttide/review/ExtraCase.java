package org.ragworttide.review;

import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two servers sends additional bytes after a few of its complete responses. They arrive
 * late, at the point where the next response on the channel is expected.
 */
final class ExtraCase extends Case {
  private static final int PER_SECOND = 30;
  private static final int DEADLINE_MILLIS = 1_500;
  private static final long CALM_MILLIS = 3_000;
  private static final long TROUBLE_MILLIS = 5_000;

  /** Share of the answers of the faulty server after which additional bytes follow. */
  private static final double SHARE = 0.03;

  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final AtomicInteger extras = new AtomicInteger();
  private volatile boolean inTrouble;

  ExtraCase(Path root, Path folder, boolean trouble) throws Exception {
    super(root, folder, trouble, 3);
  }

  private final class Bookings implements Upstream.Work {
    private final PlainWork plain;
    private final boolean isFaulty;
    private final SplittableRandom luck = new SplittableRandom(11);

    /** Channels on which additional bytes are still due. */
    private final Map<OutputStream, Boolean> due = new ConcurrentHashMap<>();

    private Bookings(PlainWork plain, boolean isFaulty) {
      this.plain = plain;
      this.isFaulty = isFaulty;
    }

    @Override
    public void run(Upstream server, Message request, OutputStream out) throws Exception {
      String id = request.header(Wire.name("requestId"));
      plain.arrive(server, request);
      int count = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
      journal.add("server %s: runs %s, which is run %d of it", server.id(), id, count);
      if (due.remove(out) != null) {
        extras.incrementAndGet();
        journal.add("server %s: additional bytes, while %s is run on the channel", server.id(), id);
        Io.write(
            out,
            "HTTP/1.1 503 Service Unavailable\r\n"
                + Wire.name("notRun")
                + ": 1\r\nContent-Length: 0\r\n\r\n");
      }
      plain.answer(server, request, out, "");
      if (isFaulty && inTrouble && isUnlucky()) {
        due.put(out, true);
      }
    }

    private synchronized boolean isUnlucky() {
      return luck.nextDouble() < SHARE;
    }
  }

  @Override
  boolean play() throws Exception {
    PlainWork plain = new PlainWork(journal, 60);
    configure(
        7,
        "desk",
        route(
            "booking",
            "/desk/",
            "desk",
            "\"kind\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"maxAttempts\":1"));
    long bornMillis = System.currentTimeMillis() - TimeUnit.HOURS.toMillis(1);
    for (int i = 0; i < 2; i++) {
      Upstream.Work work = new Bookings(plain, i == 0);
      Upstream server = server("127.0.1." + (31 + i), "i-02d9e6b" + i, "desk", i, "v1", work);
      store.put(Wire.name("servers") + server.id(), server.entry("ready", 24, bornMillis, 9));
    }
    fleet.startAll();
    Requests requests = new Requests(journal, fleet, this::nextRequestId, DEADLINE_MILLIS);
    for (int i = 0; i < fleet.size(); i++) {
      requests.start(i, PER_SECOND, new byte[600]);
    }
    Io.sleep(CALM_MILLIS);
    inTrouble = trouble;
    Io.sleep(TROUBLE_MILLIS);
    inTrouble = false;
    Io.sleep(CALM_MILLIS);
    requests.stop();
    long twice = runs.values().stream().filter(it -> it.get() > 1).count();
    long promised =
        requests.outcomes().stream()
            .filter(it -> it.status() == 503 && runs.containsKey(it.id()))
            .count();
    long answered = requests.outcomes().stream().filter(it -> it.status() == 200).count();
    journal.say(
        "%d bookings, %d answered with success; additional bytes %d times; %d bookings ran more"
            + " than once (rule: none), %d ran and were answered 503",
        requests.outcomes().size(), answered, extras.get(), twice, promised);
    if (answered < 500 || trouble && extras.get() == 0) {
      throw new IllegalStateException("the case could not run");
    }
    return twice == 0;
  }
}
