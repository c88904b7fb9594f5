package org.ragworttide.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Two versions of a service have served side by side for an hour. The servers of the older one
 * leave; while their streams still run, all machines are killed and started again.
 */
final class VersionsCase extends Case {
  private static final int STREAMS = 24;
  private static final int EVENTS = 40;
  private static final long GAP_MILLIS = 250;
  private static final long DEADLINE_MILLIS = 15_000;
  private static final int MOST_MIXED = 2;

  VersionsCase(Path root, Path folder, boolean trouble) throws Exception {
    super(root, folder, trouble, 3);
  }

  @Override
  boolean play() throws Exception {
    StreamWork work = new StreamWork(journal, EVENTS, GAP_MILLIS);
    long bornMillis = System.currentTimeMillis() - TimeUnit.HOURS.toMillis(1);
    configure(
        7,
        "pool",
        route(
            "chat",
            "/desk/",
            "pool",
            "\"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":500,"
                + "\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400"));
    List<Upstream> older = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Upstream server =
          server("127.0.1." + (31 + i), "i-7f3a91c" + i, "pool", i, i < 2 ? "v1" : "v2", work);
      store.put(Wire.name("servers") + server.id(), server.entry("ready", 96, bornMillis, 9));
      if (i < 2) {
        older.add(server);
      }
    }
    fleet.startAll();
    Io.sleep(2_000);
    List<StreamCaller> callers = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      int own = i;
      StreamCaller caller =
          new StreamCaller(
              journal,
              "client-" + i,
              DEADLINE_MILLIS,
              this::nextRequestId,
              fleet,
              attempt -> (own + attempt) % fleet.size());
      callers.add(caller);
      threads.add(Thread.ofVirtual().start(caller::run));
      Io.sleep(20);
    }
    Io.sleep(2_500);
    if (trouble) {
      for (Upstream server : older) {
        store.delete(Wire.name("servers") + server.id());
      }
      Io.sleep(1_000);
      for (int i = 0; i < fleet.size(); i++) {
        fleet.kill(i);
      }
      for (int i = 0; i < fleet.size(); i++) {
        fleet.awaitEnd(i);
        fleet.start(i);
      }
      Io.sleep(2_000);
      older.forEach(Upstream::crash);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return judge(callers);
  }

  private boolean judge(List<StreamCaller> callers) {
    long complete = callers.stream().filter(it -> it.complete).count();
    long takenUp = callers.stream().filter(it -> it.takenUp > 0).count();
    long mixed = callers.stream().filter(it -> it.versions.size() > 1).count();
    long begunOlder =
        callers.stream()
            .filter(it -> !it.events.isEmpty() && it.events.firstEntry().getValue().equals("v1"))
            .count();
    journal.say(
        "%d streams, %d begun at v1, %d taken up again, %d complete, %d hold events of two versions"
            + " (rule: at most %d)",
        callers.size(), begunOlder, takenUp, complete, mixed, MOST_MIXED);
    if (begunOlder < 3 || !trouble && complete < callers.size()) {
      throw new IllegalStateException("the case could not run");
    }
    return mixed <= MOST_MIXED;
  }
}
