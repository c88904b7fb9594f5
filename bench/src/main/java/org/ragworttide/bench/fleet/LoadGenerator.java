package org.ragworttide.bench.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.ragworttide.bench.coordination.TrialSize;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.claims.ClaimDecision;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.limits.LimitDecision;
import org.ragworttide.coordination.limits.RefusalReason;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.ragworttide.coordination.net.NodeTimers;
import org.ragworttide.coordination.routing.LoadReport;
import org.ragworttide.coordination.routing.RouteRequest;
import org.ragworttide.coordination.routing.RouteResult;
import org.ragworttide.coordination.routing.Slot;
import org.ragworttide.coordination.routing.UpstreamSpec;

/**
 * Load generator that sends chats and bookings through the coordinators as daemons do, at four
 * fifths of each organisation's rate.
 *
 * <p>Invariant: the same seed and size give the same requests. Not safe for use by several threads.
 */
final class LoadGenerator {
  private static final double SHARE_OF_RATE = 0.8;
  private static final int REQUESTS_PER_BOOKING = 20;
  private static final int CHATS = 1_000_000;
  private static final int ANSWER_MILLIS = 18_700;
  private static final int BOOKING_MILLIS = 200;
  private static final int FIRST_TOKEN_MILLIS = 150;
  private static final int RETRY_MILLIS = 50;
  private static final int MAX_RETRIES = 200;
  private static final int REPORT_MILLIS = 1_000;
  private static final int ANSWER_BYTES = 200;
  private static final long MAX_LATENCY_MILLIS = 60_000;

  private final SimulatedFleet simulatedFleet;
  private final TrialSize size;
  private final Engines engines;
  private final SplittableRandom random;
  private final List<Coordinator> coordinators = new ArrayList<>();
  private final List<NodeTimers> timers = new ArrayList<>();
  private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>();
  private Outcomes outcomes = new Outcomes();
  private int nextRequest;
  private long nowMillis;

  /** Outcomes of the requests, counted since the creation of this object. */
  static final class Outcomes {
    final Histogram claimMillis = new Histogram(MAX_LATENCY_MILLIS, 3);
    int requests;
    final Map<RefusalReason, Integer> limited = new EnumMap<>(RefusalReason.class);
    int unrouted;
    int claims;
    int granted;
  }

  LoadGenerator(SimulatedFleet simulatedFleet, TrialSize size, Engines engines, long seed) {
    this.simulatedFleet = simulatedFleet;
    this.size = size;
    this.engines = engines;
    this.random = new SplittableRandom(seed);
    simulatedFleet.vms.forEach(vm -> coordinators.add(simulatedFleet.fleet.stateMachine(vm)));
    simulatedFleet.vms.forEach(vm -> timers.add(simulatedFleet.fleet.timers(vm)));
    size.rates().keySet().forEach(id -> arrivals.add(nextArrival(id, 0)));
  }

  /** Runs the fleet under load and calls {@code eachSecond} after each simulated second. */
  void run(long millis, Runnable eachSecond) {
    simulatedFleet.fleet.run(millis, 1, fleet -> step(eachSecond));
  }

  /** Starts a new count and returns the object that receives it. */
  Outcomes resetOutcomes() {
    outcomes = new Outcomes();
    return outcomes;
  }

  private void step(Runnable eachSecond) {
    nowMillis++;
    while (arrivals.element().atMillis <= nowMillis) {
      Arrival arrival = arrivals.remove();
      sendRequest(arrival.id);
      arrivals.add(nextArrival(arrival.id, arrival.atMillis));
    }
    sendLoadReports();
    if (nowMillis % REPORT_MILLIS == 0) {
      eachSecond.run();
    }
  }

  private void sendLoadReports() {
    List<UpstreamSpec> specs = engines.specs();
    int phase = (int) (nowMillis % REPORT_MILLIS);
    for (int i = phase; i < specs.size(); i += REPORT_MILLIS) {
      UpstreamId id = specs.get(i).id();
      for (int vm = 0; vm < coordinators.size(); vm++) {
        long measured = timers.get(vm).nowMillis();
        coordinators.get(vm).recordLoad(new LoadReport(id, 1, measured, engines.inFlight(id), 0));
      }
    }
  }

  private Arrival nextArrival(OrganisationId id, double fromMillis) {
    double rate = size.rates().get(id) * SHARE_OF_RATE;
    return new Arrival(fromMillis - Math.log(1 - random.nextDouble()) * 1_000 / rate, id);
  }

  private void sendRequest(OrganisationId id) {
    int vm = random.nextInt(coordinators.size());
    String name = "request-" + nextRequest++;
    outcomes.requests++;
    coordinators
        .get(vm)
        .limitCommands()
        .acquire(id, name, decision -> handleLimitDecision(vm, id, name, decision));
  }

  private void handleLimitDecision(int vm, OrganisationId id, String name, LimitDecision decision) {
    if (decision instanceof LimitDecision.Refused refused) {
      outcomes.limited.merge(refused.reason(), 1, Integer::sum);
    } else if (random.nextInt(REQUESTS_PER_BOOKING) == 0) {
      startBooking(vm, new RequestKey(name));
    } else {
      ChatId chat = new ChatId("chat-" + random.nextInt(CHATS));
      int model = random.nextInt(engines.specs().size());
      route(vm, new RouteRequest(chat, engines.model(model), id, Set.of()), 0);
    }
  }

  private void startBooking(int vm, RequestKey key) {
    Outcomes counted = outcomes;
    long claimedAtMillis = timers.get(vm).nowMillis();
    counted.claims++;
    coordinators
        .get(vm)
        .claimCommands()
        .claim(
            key,
            decision -> {
              counted.claimMillis.recordValue(timers.get(vm).nowMillis() - claimedAtMillis);
              if (decision instanceof ClaimDecision.Granted) {
                counted.granted++;
                timers.get(vm).after(BOOKING_MILLIS, () -> completeBooking(vm, key));
              }
            });
  }

  private void completeBooking(int vm, RequestKey key) {
    ClaimAnswer answer = new ClaimAnswer(new byte[ANSWER_BYTES]);
    coordinators.get(vm).claimCommands().recordCompleted(key, answer);
  }

  private void route(int vm, RouteRequest request, int retries) {
    switch (coordinators.get(vm).router().route(request)) {
      case RouteResult.Chosen chosen -> {
        engines.recordStart(chosen.slot().upstream());
        timers.get(vm).after(ANSWER_MILLIS, () -> completeChat(vm, chosen.slot()));
      }
      case RouteResult.Refused refused -> {
        if (retries < MAX_RETRIES) {
          timers.get(vm).after(RETRY_MILLIS, () -> route(vm, request, retries + 1));
        } else {
          outcomes.unrouted++;
        }
      }
    }
  }

  private void completeChat(int vm, Slot slot) {
    engines.recordEnd(slot.upstream());
    coordinators.get(vm).recordAnswer(slot.upstream(), FIRST_TOKEN_MILLIS);
    slot.release();
  }

  private record Arrival(double atMillis, OrganisationId id) implements Comparable<Arrival> {
    @Override
    public int compareTo(Arrival other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : id.compareTo(other.id);
    }
  }
}
