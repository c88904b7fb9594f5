package org.ragworttide.review;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One of three servers is in need and names in its answers how many requests a second it takes. */
final class LimitCase extends Case {
  private static final int PER_SECOND = 20;
  private static final int DEADLINE_MILLIS = 1_500;
  private static final long STABLE_MILLIS = 3_000;
  private static final long SPAN_MILLIS = 4_000;

  /** What ten requests a second for three servers leave to each, as most languages print it. */
  private static final double LIMIT = 10.0 / 3;

  private volatile boolean inNeed;
  private volatile long namedAtMillis;

  LimitCase(Path root, Path folder, boolean trouble) throws Exception {
    super(root, folder, trouble, 3);
  }

  @Override
  boolean play() throws Exception {
    PlainWork plain = new PlainWork(journal, 60);
    configure(
        7,
        "desk",
        route(
            "lookup",
            "/desk/",
            "desk",
            "\"kind\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"maxAttempts\":2"));
    long bornMillis = System.currentTimeMillis() - TimeUnit.HOURS.toMillis(1);
    String text = System.getProperty("limit", Double.toString(LIMIT));
    Upstream needy = null;
    for (int i = 0; i < 3; i++) {
      boolean isNeedy = i == 0;
      Upstream.Work work =
          (server, request, out) -> {
            plain.arrive(server, request);
            boolean names = isNeedy && inNeed;
            if (names && namedAtMillis == 0) {
              namedAtMillis = journal.now();
            }
            plain.answer(
                server, request, out, names ? Wire.name("limit") + ": " + text + "\r\n" : "");
          };
      Upstream server = server("127.0.1." + (31 + i), "i-02d9e6b" + i, "desk", i, "v1", work);
      store.put(Wire.name("servers") + server.id(), server.entry("ready", 24, bornMillis, 9));
      needy = isNeedy ? server : needy;
    }
    fleet.startAll();
    Requests requests = new Requests(journal, fleet, this::nextRequestId, DEADLINE_MILLIS);
    for (int i = 0; i < fleet.size(); i++) {
      requests.start(i, PER_SECOND, new byte[600]);
    }
    Io.sleep(5_000);
    inNeed = trouble;
    Io.sleep(15_000);
    requests.stop();
    List<Long> arrivals = plain.arrivals(needy.id());
    int most = PlainWork.most(arrivals, namedAtMillis + STABLE_MILLIS, journal.now(), SPAN_MILLIS);
    double bound = 1.5 * LIMIT * SPAN_MILLIS / 1_000 + 5;
    journal.say(
        "the server that %s a limit of %s got up to %d requests in 4 s (rule: at most %.0f)",
        trouble ? "names" : "names no", text, most, bound);
    return !trouble || most <= bound;
  }
}
