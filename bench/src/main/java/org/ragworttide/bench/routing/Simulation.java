package org.ragworttide.bench.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Runs one strategy on one trace with simulated engines.
 *
 * <p>Invariant: the same arguments give the same tally. Confined to one thread.
 */
final class Simulation {
  private static final long REPORT_MILLIS = 1_000;
  private static final int REPORT_LAG_MILLIS = 1_000;
  private static final int VIEW_LAG_MILLIS = 3_000;
  private static final int EVENT_LAG_MILLIS = 2_000;
  private static final double EVENT_LOSS = 0.1;
  private static final long FLAP_MILLIS = 4_000;

  final ManualTimerService time = new ManualTimerService();
  final List<SimulatedEngine> engines = new ArrayList<>();
  private final FleetSize size;
  private final Scenario scenario;
  private final Trace trace;
  private final SplittableRandom random;
  private final Tally tally;
  private final boolean[] inService;
  private final BitSet seenChats;
  private final Strategy strategy;
  private long rampUntilMillis;

  Simulation(
      FleetSize size,
      Scenario scenario,
      Trace trace,
      long seed,
      BiFunction<Simulation, boolean[], Strategy> strategy) {
    this.size = size;
    this.scenario = scenario;
    this.trace = trace;
    this.random = new SplittableRandom(seed);
    this.tally = new Tally(size);
    this.inService = new boolean[size.engines()];
    this.seenChats = new BitSet(trace.chatCount);
    Arrays.fill(inService, true);
    for (int i = 0; i < size.engines(); i++) {
      engines.add(new SimulatedEngine(size.meanLoad(), size.cacheEntries()));
    }
    this.strategy = strategy.apply(this, inService);
  }

  Tally run() {
    for (int engine = 0; engine < size.engines(); engine++) {
      int index = engine;
      time.after(
          random.nextLong(REPORT_MILLIS), () -> time.every(REPORT_MILLIS, () -> report(index)));
    }
    time.every(500, this::sampleSkew);
    scheduleScenario();
    for (int i = 0; i < trace.atMillis.length; i++) {
      time.advance(trace.atMillis[i] - time.nowMillis());
      arrive(i);
    }
    return tally;
  }

  private void arrive(int index) {
    int chat = trace.chats[index];
    long now = time.nowMillis();
    Strategy.Choice choice = strategy.choose(trace.daemons[index], chat);
    if (choice == null) {
      tally.recordRefusal(now);
      return;
    }
    SimulatedEngine engine = engines.get(choice.engine());
    final boolean hit = engine.has(chat);
    long firstToken = engine.start(chat);
    if (chat != Trace.HOT_CHAT) {
      tally.recordStart(now, seenChats.get(chat), hit, firstToken);
    }
    seenChats.set(chat);
    time.after(firstToken + trace.answerMillis[index], () -> end(choice, chat));
  }

  private void end(Strategy.Choice choice, int chat) {
    SimulatedEngine engine = engines.get(choice.engine());
    engine.end(chat);
    choice.release().run();
    long sequence = engine.nextCacheSequence();
    if (random.nextDouble() >= EVENT_LOSS) {
      time.after(
          random.nextLong(EVENT_LAG_MILLIS),
          () -> strategy.recordCached(choice.engine(), sequence, chat));
    }
  }

  private void report(int index) {
    boolean stalled =
        scenario == Scenario.STALLED_REPORTS && time.nowMillis() > size.seconds() * 500L;
    if (stalled) {
      return;
    }
    SimulatedEngine engine = engines.get(index);
    long measured = time.nowMillis();
    int load = engine.inFlight();
    long incarnation = engine.incarnation();
    time.after(
        random.nextLong(REPORT_LAG_MILLIS),
        () -> strategy.recordLoad(index, incarnation, measured, load));
  }

  private void sampleSkew() {
    int total = 0;
    int count = 0;
    int max = 0;
    for (int i = 0; i < size.engines(); i++) {
      if (inService[i]) {
        total += engines.get(i).inFlight();
        count++;
        max = Math.max(max, engines.get(i).inFlight());
      }
    }
    boolean ramp = time.nowMillis() < rampUntilMillis;
    tally.recordSkew(time.nowMillis(), total == 0 ? 0 : (double) max * count / total, ramp);
  }

  private void scheduleScenario() {
    long start = size.warmupSeconds() * 1_000L;
    long length = size.seconds() * 1_000L - start;
    if (scenario == Scenario.CHURN) {
      long period = Math.max(2_000, length / 40);
      time.after(start, () -> time.every(period, this::churn));
    } else if (scenario == Scenario.ZONE) {
      time.after(start + length / 4, () -> setZoneInService(false));
      time.after(start + length / 2, () -> setZoneInService(true));
    }
  }

  private void churn() {
    int engine = random.nextInt(size.engines());
    boolean flap = random.nextBoolean();
    if (!inService[engine]) {
      return;
    }
    setInService(engine, false);
    time.after(
        flap ? FLAP_MILLIS : 30_000 + random.nextLong(30_000),
        () -> {
          if (!flap) {
            engines.get(engine).restart();
          }
          setInService(engine, true);
        });
  }

  private void setZoneInService(boolean in) {
    for (int engine = 1; engine < size.engines(); engine += FleetSize.ZONES) {
      inService[engine] = in;
    }
    if (in) {
      rampUntilMillis = time.nowMillis() + RouterSettings.DEFAULTS.rampMillis() + VIEW_LAG_MILLIS;
    }
    notifyDaemons();
  }

  private void setInService(int engine, boolean in) {
    inService[engine] = in;
    notifyDaemons();
  }

  private void notifyDaemons() {
    boolean[] now = inService.clone();
    for (int daemon = 0; daemon < size.daemons(); daemon++) {
      int index = daemon;
      time.after(random.nextLong(VIEW_LAG_MILLIS), () -> strategy.setInService(index, now));
    }
  }
}
