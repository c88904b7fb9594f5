package org.ragworttide.coordination.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Simulates a fleet of VMs, each of which places a sliver of the requests on the engines that all
 * share, from the start of the first request on. VMs learn of each other only by statements, which
 * are as rare and as late as those of the gateway.
 *
 * <p>Confined to one thread.
 */
final class SimulatedFleet {
  private static final long TICK_MILLIS = 10;
  private static final long STATEMENT_MILLIS = 150;
  private static final int SMALL_FLEET_VMS = 16;
  private static final int SAMPLED_VMS = 2;
  private static final int MAX_HOLDINGS = 32;
  private static final int STATEMENTS_PER_HOLDING = 3;
  private static final int ZONES = 5;
  private static final int SLOTS = 24;
  private static final int FIRST_PARTS = 4;
  private static final double STEP_MILLIS = 15;
  private static final double FIRST_EVENT_MILLIS = 60;
  private static final double PREFILL_TOKENS_PER_MILLI = 38.4;

  /**
   * A kind of request.
   *
   * @param perSecond its requests per second at 74 engines
   * @param sessions its sessions there
   * @param sessionTokens tokens that the requests of a session share
   * @param events the mean number of events in an answer
   */
  private record Kind(double perSecond, int sessions, int sessionTokens, int events) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind(101, 326, 8_600, 17), new Kind(136, 660, 2_000, 8), new Kind(75, 364, 600, 93));

  private static final double REFERENCE_ENGINES = 74;

  private record Statement(
      Vm from,
      long sequence,
      Map<Integer, Integer> inFlight,
      List<PromptIndex.Holding> holdings,
      List<LoadReport> reports) {}

  private record Running(Vm vm, int engine, long headAtMillis, long endAtMillis) {}

  /** A request that has reached an engine. */
  record Arrival(long atMillis, boolean overloaded) {}

  private final class Vm {
    private final VmId id;
    private final PeerLoads peers = new PeerLoads();
    private final PromptIndex index = new PromptIndex();
    private final EnginePlacement placement;
    private final List<UpstreamLoad> loads = new ArrayList<>();
    private final Deque<List<PromptIndex.Holding>> recentHoldings = new ArrayDeque<>();
    private final long phaseMillis = random.nextLong(STATEMENT_MILLIS / TICK_MILLIS) * TICK_MILLIS;
    private final LoadReportSelection reports = new LoadReportSelection();
    private final Map<Integer, Integer> engineKeys = new HashMap<>();
    private long sequence;

    private Vm(int number, int count) {
      id = new VmId("vm-" + number);
      placement = new EnginePlacement(zone(number), index, random);
      peers.setKnownPeers(count - 1);
      for (int i = 0; i < running.length; i++) {
        loads.add(new UpstreamLoad(new UpstreamId("engine-" + i), zone(i), SLOTS, 0, peers));
        engineKeys.put(loads.getLast().incarnationKey(), i);
      }
    }

    private Statement state() {
      Map<Integer, Integer> inFlight = new HashMap<>();
      for (UpstreamLoad load : loads) {
        if (load.inFlight() > 0) {
          inFlight.put(load.key(), load.inFlight());
        }
      }
      recentHoldings.addFirst(index.drainNewHoldings());
      if (recentHoldings.size() > STATEMENTS_PER_HOLDING) {
        recentHoldings.removeLast();
      }
      sequence++;
      return new Statement(
          this,
          sequence,
          inFlight,
          recentHoldings.stream().flatMap(List::stream).limit(MAX_HOLDINGS).toList(),
          vms.size() <= SMALL_FLEET_VMS
              ? List.of()
              : reports.next(loads.stream().flatMap(it -> it.report().stream()).toList(), now));
    }

    private void receive(Statement statement) {
      peers.recordStatement(
          statement.from().id, 1, statement.sequence(), statement.inFlight(), now);
      statement.holdings().forEach(holding -> index.recordPeerHolding(holding, now));
      for (LoadReport report : statement.reports()) {
        loads
            .get(engineKeys.get(report.upstream()))
            .recordReport(report.requests(), report.atMillis());
      }
    }

    private void send(Prompt prompt, Kind kind) {
      UpstreamLoad chosen =
          placement
              .choose(prompt, loads.subList(evacuated, loads.size()), loads, true, now)
              .orElseThrow();
      int engine = loads.indexOf(chosen);
      chosen.recordStart(now);
      final boolean isCached = !cached.get(engine).add(prompt.affinityPart().idHash());
      index.recordSentPrompt(prompt, chosen, now);
      arrivals.add(new Arrival(now, isOverloaded(engine)));
      running[engine]++;
      int missing = isCached ? prompt.inputTokens() / 10 : prompt.inputTokens();
      if (!isCached) {
        prefilledPrompts++;
      }
      double head = FIRST_EVENT_MILLIS + missing / PREFILL_TOKENS_PER_MILLI;
      double rest = STEP_MILLIS * kind.events() * -Math.log(1 - random.nextDouble());
      Running request = new Running(this, engine, now + (long) head, now + (long) (head + rest));
      heads.add(request);
      ends.add(request);
    }
  }

  private final SplittableRandom random;
  private final List<Vm> vms = new ArrayList<>();
  private final int[] running;
  private final PriorityQueue<Running> heads =
      new PriorityQueue<>(Comparator.comparingLong(Running::headAtMillis));
  private final PriorityQueue<Running> ends =
      new PriorityQueue<>(Comparator.comparingLong(Running::endAtMillis));
  private final List<Arrival> arrivals = new ArrayList<>();
  private final double scale;
  private final List<Set<Long>> cached = new ArrayList<>();
  private int evacuated;
  private double traffic = 1;
  private int prefilledPrompts;
  private long now;

  SimulatedFleet(int vmCount, int engineCount, long seed) {
    random = new SplittableRandom(seed);
    running = new int[engineCount];
    scale = engineCount / REFERENCE_ENGINES;
    for (int i = 0; i < engineCount; i++) {
      cached.add(new HashSet<>());
    }
    for (int i = 0; i < vmCount; i++) {
      vms.add(new Vm(i, vmCount));
    }
  }

  private static ZoneId zone(int number) {
    return new ZoneId("zone-" + number % ZONES);
  }

  /** Takes the first engines out of service; they still count for the mean. */
  void evacuate(int engines) {
    evacuated = engines;
  }

  /** Sets by how many times more requests arrive than at first. */
  void traffic(double multiple) {
    traffic = multiple;
  }

  /**
   * Plays the next seconds.
   *
   * @param millis how long
   * @param hotShare the share of the first kind of requests that belong to one session
   */
  void play(long millis, double hotShare) {
    for (long end = now + millis; now < end; now += TICK_MILLIS) {
      while (!heads.isEmpty() && heads.peek().headAtMillis() <= now) {
        Running request = heads.poll();
        request.vm().loads.get(request.engine()).recordReport(running[request.engine()], now);
      }
      while (!ends.isEmpty() && ends.peek().endAtMillis() <= now) {
        Running request = ends.poll();
        running[request.engine()]--;
        request.vm().loads.get(request.engine()).recordEnd();
      }
      for (Kind kind : KINDS) {
        double due = kind.perSecond() * scale * traffic * TICK_MILLIS / 1_000;
        for (due += random.nextDouble(); due >= 1; due--) {
          boolean isHot = kind == KINDS.getFirst() && random.nextDouble() < hotShare;
          request(kind, isHot ? 0 : 1 + random.nextInt((int) Math.ceil(kind.sessions() * scale)));
        }
      }
      for (Vm vm : vms) {
        if (now % STATEMENT_MILLIS == vm.phaseMillis) {
          broadcast(vm);
        }
      }
    }
  }

  private void request(Kind kind, int session) {
    String name = KINDS.indexOf(kind) + "-" + session;
    int firstTokens = kind.sessionTokens() / 3;
    Prompt prompt =
        new Prompt(
            List.of(
                part("first-" + KINDS.indexOf(kind) + "-" + session % FIRST_PARTS, firstTokens),
                part("session-" + name, kind.sessionTokens() - firstTokens),
                part("request-" + arrivals.size(), 300)),
            kind.sessionTokens() + 300,
            kind.events() * 3);
    vms.get(random.nextInt(vms.size())).send(prompt, kind);
  }

  private static PromptPart part(String name, int tokens) {
    return new PromptPart(Rendezvous.hash(name), tokens);
  }

  private void broadcast(Vm from) {
    from.peers.expire(now);
    Statement statement = from.state();
    if (vms.size() <= SMALL_FLEET_VMS) {
      vms.stream().filter(vm -> vm != from).forEach(vm -> vm.receive(statement));
      return;
    }
    for (int i = 0; i < SAMPLED_VMS; i++) {
      Vm to = vms.get(random.nextInt(vms.size()));
      if (to != from) {
        to.receive(statement);
      }
    }
  }

  private boolean isOverloaded(int engine) {
    int sum = 0;
    for (int count : running) {
      sum += count;
    }
    return running[engine] > 2.0 * sum / running.length + 3;
  }

  /**
   * Returns the largest share of requests within the given time that reached an engine with more
   * than twice the mean load and three requests, of windows with at least 20 such requests.
   */
  double worstOverloadedShare(long windowMillis) {
    double worst = 0;
    int first = 0;
    int overloaded = 0;
    for (int last = 0; last < arrivals.size(); last++) {
      overloaded += arrivals.get(last).overloaded() ? 1 : 0;
      while (arrivals.get(last).atMillis() - arrivals.get(first).atMillis() >= windowMillis) {
        overloaded -= arrivals.get(first).overloaded() ? 1 : 0;
        first++;
      }
      if (overloaded >= 20 && arrivals.get(last).atMillis() >= windowMillis) {
        worst = Math.max(worst, (double) overloaded / (last - first + 1));
      }
    }
    return worst;
  }

  /** Returns the share of requests whose session's prompt was not cached where they were placed. */
  double prefilledShare() {
    return (double) prefilledPrompts / arrivals.size();
  }
}
