package org.ragworttide.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Two versions of a service serve side by side, two servers each. All machines are stopped and
 * started in turn, two seconds apart, while clients read streams.
 */
final class RollCase extends Case {
  private static final long STABLE_MILLIS = 3_000;
  private static final long GAP_MILLIS = 2_000;
  private static final long EVENT_MILLIS = 250;
  private static final int EVENTS = 56;
  private static final long DEADLINE_MILLIS = 15_000;
  private static final long BEGIN_MILLIS = 150;
  private static final int LEAST_TAKEN_UP = 12;

  /** Times in which each machine was started, or stopped and started again. */
  private final List<List<Span>> disturbed = new ArrayList<>();

  private final boolean[] ready;

  private record Span(long fromMillis, long toMillis) {}

  RollCase(Path root, Path folder, boolean trouble) throws Exception {
    super(root, folder, trouble, 3);
    ready = new boolean[fleet.size()];
  }

  @Override
  boolean play() throws Exception {
    StreamWork work = new StreamWork(journal, EVENTS, EVENT_MILLIS);
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
    for (int i = 0; i < 4; i++) {
      Upstream server =
          server("127.0.1." + (31 + i), "i-7f3a91c" + i, "pool", i, i < 2 ? "v1" : "v2", work);
      store.put(Wire.name("servers") + server.id(), server.entry("ready", 96, bornMillis, 9));
    }
    fleet.startAll();
    for (int i = 0; i < fleet.size(); i++) {
      disturbed.add(new ArrayList<>());
      disturbed.get(i).add(new Span(0, journal.now()));
    }
    Arrays.fill(ready, true);
    Thread checks = Thread.ofVirtual().start(this::checkReadiness);
    Io.sleep(4_000);
    List<StreamCaller> callers = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    long beganMillis = journal.now();
    Thread rolling = null;
    while (journal.now() - beganMillis < 22_000) {
      int zone = callers.size() % fleet.size();
      StreamCaller caller =
          new StreamCaller(
              journal,
              "client-" + callers.size(),
              DEADLINE_MILLIS,
              this::nextRequestId,
              fleet,
              attempt -> machineFor(zone));
      callers.add(caller);
      threads.add(Thread.ofVirtual().start(caller::run));
      Io.sleep(BEGIN_MILLIS / fleet.size());
      if (trouble && rolling == null && journal.now() - beganMillis > 4_000) {
        rolling = Thread.ofVirtual().start(this::roll);
      }
    }
    for (Thread thread : threads) {
      thread.join();
    }
    if (rolling != null) {
      rolling.join();
    }
    checks.interrupt();
    return judge(callers);
  }

  /** Asks each machine once a second; two misses take it out, one answer brings it back. */
  private void checkReadiness() {
    int[] misses = new int[fleet.size()];
    while (!Thread.currentThread().isInterrupted()) {
      for (int i = 0; i < fleet.size(); i++) {
        misses[i] = fleet.isReady(i) ? 0 : misses[i] + 1;
        ready[i] = misses[i] < 2;
      }
      try {
        Thread.sleep(1_000);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns the machine of the client's zone, or of another zone if that is not in rotation. */
  private int machineFor(int zone) {
    List<Integer> others = new ArrayList<>();
    for (int i = 0; i < fleet.size(); i++) {
      if (ready[i] && i != zone) {
        others.add(i);
      }
    }
    if (ready[zone] || others.isEmpty()) {
      return zone;
    }
    synchronized (random) {
      return others.get(random.nextInt(others.size()));
    }
  }

  private void roll() {
    List<Thread> stops = new ArrayList<>();
    for (int i = 0; i < fleet.size(); i++) {
      int number = i;
      stops.add(Thread.ofVirtual().start(() -> restart(number)));
      Io.sleep(GAP_MILLIS);
    }
    for (Thread stop : stops) {
      try {
        stop.join();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private void restart(int number) {
    long fromMillis = journal.now();
    synchronized (disturbed) {
      disturbed.get(number).add(new Span(fromMillis, Long.MAX_VALUE));
    }
    try {
      fleet.terminate(number);
      fleet.awaitEnd(number);
      journal.say("gateway %d: ended after %d ms", number, journal.now() - fromMillis);
      fleet.start(number);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
    synchronized (disturbed) {
      disturbed.get(number).removeLast();
      disturbed.get(number).add(new Span(fromMillis, journal.now()));
    }
  }

  private boolean isInTouch(StreamCaller.Attempt attempt) {
    return disturbed.get(attempt.machine()).stream()
        .noneMatch(
            span ->
                attempt.sentAtMillis() + 500 >= span.fromMillis()
                    && attempt.sentAtMillis() < span.toMillis() + STABLE_MILLIS);
  }

  private boolean judge(List<StreamCaller> callers) {
    int begun = 0;
    int sent = 0;
    int takenUp = 0;
    int wentOn = 0;
    for (StreamCaller caller : callers) {
      List<StreamCaller.Attempt> fresh =
          caller.attempts.stream().filter(it -> !it.takesUp() && isInTouch(it)).toList();
      List<StreamCaller.Attempt> again =
          caller.attempts.stream().filter(it -> it.takesUp() && isInTouch(it)).toList();
      sent += fresh.isEmpty() ? 0 : 1;
      begun += fresh.stream().anyMatch(it -> it.events() > 0) ? 1 : 0;
      takenUp += again.isEmpty() ? 0 : 1;
      wentOn += again.stream().anyMatch(it -> it.events() > 0) ? 1 : 0;
    }
    long cut = callers.stream().filter(it -> it.takenUp > 0).count();
    long complete = callers.stream().filter(it -> it.complete).count();
    journal.say(
        "%d streams, %d complete, %d cut and taken up; at machines in touch: %d of %d new ones"
            + " began, %d of %d taken up went on",
        callers.size(), complete, cut, begun, sent, wentOn, takenUp);
    if (trouble ? takenUp < LEAST_TAKEN_UP : complete < callers.size()) {
      throw new IllegalStateException("the case could not run");
    }
    return takenUp < LEAST_TAKEN_UP || (double) wentOn / takenUp >= 0.5 * begun / sent;
  }
}
