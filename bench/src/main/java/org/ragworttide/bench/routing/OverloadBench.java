package org.ragworttide.bench.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.queueing.FairQueue;
import org.ragworttide.coordination.queueing.Offer;
import org.ragworttide.coordination.queueing.Priority;
import org.ragworttide.coordination.queueing.QueueSettings;
import org.ragworttide.coordination.queueing.Work;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Measures the service that organisations within their rates receive while three others surge.
 *
 * <p>Invariant: the same arguments give the same counts. Confined to one thread.
 */
final class OverloadBench {
  static final int ORGANISATIONS = 10;
  static final int SURGING = 3;
  private static final int SLOTS_PER_ENGINE = 14;
  private static final double SURGE_FACTOR = 5;
  private static final int BURST = 4;
  private static final double LARGE_SHARE = 0.16;
  private static final double SMALL_SHARE = 0.06;
  private static final double SHORTEST_ANSWER = 0.7;
  private static final double LONGEST_ANSWER = 1.3;
  private static final long WINDOW_MILLIS = 30_000;
  private static final long DISPATCH_MILLIS = 20;
  private static final OrganisationId ALL = new OrganisationId("all");

  final long[] offered = new long[ORGANISATIONS];
  final long[] inTime = new long[ORGANISATIONS];
  final long[] late = new long[ORGANISATIONS];
  final long[] refused = new long[ORGANISATIONS];
  final Histogram quietWait = new Histogram(3_600_000, 3);
  private final ManualTimerService time = new ManualTimerService();
  private final SplittableRandom random;
  private final FleetSize size;
  private final boolean surge;
  private final boolean fair;
  private final RouterStrategy routers;
  private final List<FairQueue<Request>> queues = new ArrayList<>();
  private final int[] inFlight;

  OverloadBench(FleetSize size, long seed, boolean surge, boolean fair) {
    this.size = size;
    this.surge = surge;
    this.fair = fair;
    this.random = new SplittableRandom(seed);
    this.inFlight = new int[size.engines()];
    this.routers = RouterStrategy.limited(size, time, SLOTS_PER_ENGINE);
    for (int i = 0; i < size.daemons(); i++) {
      queues.add(
          new FairQueue<>(
              time,
              new QueueSettings(300, 5_000, BURST),
              (entry, why) -> refused[entry.attachment().organisation]++));
    }
  }

  OverloadBench run() {
    for (int engine = 0; engine < size.engines(); engine++) {
      int index = engine;
      time.every(1_000, () -> report(index));
    }
    time.every(DISPATCH_MILLIS, this::dispatch);
    for (int organisation = 0; organisation < ORGANISATIONS; organisation++) {
      arrive(organisation);
    }
    time.advance(size.seconds() * 1_000L);
    return this;
  }

  /**
   * Returns the lowest share of requests that end in time, over the organisations that do not
   * surge.
   */
  double minServedShare() {
    double worst = 1;
    for (int i = SURGING; i < ORGANISATIONS; i++) {
      worst = Math.min(worst, (double) inTime[i] / (inTime[i] + late[i] + refused[i]));
    }
    return worst;
  }

  /** Returns the share of requests refused among organisations that stay within their rates. */
  double wrongfulRefusals() {
    long quiet = Arrays.stream(offered, SURGING, ORGANISATIONS).sum();
    return (double) Arrays.stream(refused, SURGING, ORGANISATIONS).sum() / quiet;
  }

  private void arrive(int organisation) {
    double factor = surge && organisation < SURGING ? SURGE_FACTOR : 1;
    new Arrivals(time, random, rate(organisation) * factor, () -> offer(organisation)).start();
  }

  private double rate(int organisation) {
    return size.requestsPerSecond() * (organisation % 3 == 0 ? LARGE_SHARE : SMALL_SHARE);
  }

  private void offer(int organisation) {
    offered[organisation]++;
    FairQueue<Request> queue = queues.get(random.nextInt(size.daemons()));
    long now = time.nowMillis();
    OrganisationId id = fair ? new OrganisationId("organisation-" + organisation) : ALL;
    Request request = new Request(organisation, now);
    double cost = 1 / rate(organisation);
    long expected = (long) (size.answerMillis() * LONGEST_ANSWER);
    Work work = new Work(id, Priority.NORMAL, cost, now + WINDOW_MILLIS, expected);
    if (queue.offer(work, request) instanceof Offer.Refused) {
      refused[organisation]++;
    }
  }

  private void dispatch() {
    int first = random.nextInt(size.daemons());
    for (int i = 0; i < size.daemons(); i++) {
      int daemon = (first + i) % size.daemons();
      queues.get(daemon).dispatch(entry -> start(daemon, entry.attachment()));
    }
  }

  private boolean start(int daemon, Request request) {
    int chat = random.nextInt(100_000);
    Strategy.Choice choice = routers.choose(daemon, chat);
    if (choice == null) {
      return false;
    }
    inFlight[choice.engine()]++;
    long now = time.nowMillis();
    if (request.organisation >= SURGING) {
      quietWait.recordValue(now - request.atMillis);
    }
    long answer =
        (long)
            (size.answerMillis()
                * (SHORTEST_ANSWER + (LONGEST_ANSWER - SHORTEST_ANSWER) * random.nextDouble()));
    time.after(
        answer,
        () -> {
          inFlight[choice.engine()]--;
          choice.release().run();
          boolean met = time.nowMillis() <= request.atMillis + WINDOW_MILLIS;
          (met ? inTime : late)[request.organisation]++;
        });
    return true;
  }

  private void report(int engine) {
    long measured = time.nowMillis();
    int running = inFlight[engine];
    time.after(random.nextLong(1_000), () -> routers.recordLoad(engine, 1, measured, running));
  }

  private record Request(int organisation, long atMillis) {}
}
