package org.ragworttide.coordination.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiPredicate;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Simulated fleet of VMs before engines that some prompt parts crash.
 *
 * <p>Sound requests have a popular first part and a session; a fatal request has a fatal part
 * besides. Each request arrives at a random VM, which sends it to a random engine. An engine
 * crashes when it begins to answer a fatal request, and returns as another run. VMs have different
 * clocks; their statements reach all VMs of a small fleet and two random VMs of a large one, and a
 * share of them is lost. Confined to one thread.
 */
final class CrashingFleet {
  /** VMs up to which a statement goes to all. */
  private static final int SMALL_FLEET_VMS = 16;

  private static final int SAMPLED_PEERS = 2;
  private static final long STATEMENT_MILLIS = 150;
  private static final long LINK_MILLIS = 3;
  private static final long RESTART_MILLIS = 3_000;
  private static final long MIN_PREFILL_MILLIS = 80;
  private static final int PREFILL_SPREAD_MILLIS = 300;
  private static final int ANSWER_SPREAD_MILLIS = 1_500;
  private static final int FIRST_PARTS = 4;
  private static final int SESSIONS_PER_VM = 20;

  final ManualTimerService time = new ManualTimerService();
  private final Random random;
  private final List<Vm> vms = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Long> crashMillis = new ArrayList<>();
  private final List<FatalSend> fatalSends = new ArrayList<>();
  private BiPredicate<Integer, Integer> link = (from, to) -> true;
  private double lossShare = 0.02;
  private int contents;
  private int engineRuns;
  private int soundRequests;
  private int heldBackSoundRequests;

  /** A fatal request that was sent, with how long its VM had been running. */
  private record FatalSend(long atMillis, long upMillis) {}

  /** A request in flight. */
  private static final class Request {
    private final Vm vm;
    private final CrashSuspicions suspicions;
    private final List<Suspect> suspects;
    private final long sentAtMillis;
    private boolean ended;

    private Request(Vm vm, List<Suspect> suspects, long sentAtMillis) {
      this.vm = vm;
      this.suspicions = vm.suspicions;
      this.suspects = suspects;
      this.sentAtMillis = sentAtMillis;
    }
  }

  private static final class Engine {
    private final List<Request> inFlight = new ArrayList<>();
    private int run;
    private boolean up = true;
  }

  private final class Vm {
    private final int index;
    private final long clockMillis = random.nextInt(1_000_000);
    private CrashSuspicions suspicions;
    private long startedAtMillis;

    private Vm(int index) {
      this.index = index;
      start();
      time.after(
          random.nextInt((int) STATEMENT_MILLIS),
          () -> time.every(STATEMENT_MILLIS, this::sendStatement));
    }

    private void start() {
      suspicions = new CrashSuspicions(vms::size, new Random(random.nextLong()));
      startedAtMillis = time.nowMillis();
    }

    private long now() {
      return time.nowMillis() + clockMillis;
    }

    private void sendStatement() {
      SuspicionStatement statement = suspicions.nextStatement(now()).moveTimes(-now());
      if (vms.size() <= SMALL_FLEET_VMS) {
        vms.forEach(to -> send(statement, to));
      } else {
        for (int i = 0; i < SAMPLED_PEERS; i++) {
          send(statement, vms.get(random.nextInt(vms.size())));
        }
      }
    }

    private void send(SuspicionStatement statement, Vm to) {
      if (to != this && link.test(index, to.index) && random.nextDouble() >= lossShare) {
        time.after(LINK_MILLIS, () -> to.receive(statement.moveTimes(to.now())));
      }
    }

    private void receive(SuspicionStatement statement) {
      statement.reports().forEach(report -> suspicions.recordReport(report, now()));
      statement.clearances().forEach(suspicions::recordClearance);
    }
  }

  CrashingFleet(int size, int engineCount, long seed) {
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      vms.add(new Vm(i));
    }
    for (int i = 0; i < engineCount; i++) {
      Engine engine = new Engine();
      engine.run = engineRuns++;
      engines.add(engine);
    }
  }

  /** Sends sound requests at the rate from now on. */
  void sendSound(double perSecond) {
    arrive(perSecond, Long.MAX_VALUE, this::sendSoundRequest);
  }

  /** Sends requests with the fatal part at the rate for the time, all of one session. */
  void sendFatal(int part, double perSecond, long forMillis) {
    arrive(perSecond, time.nowMillis() + forMillis, () -> sendFatalRequest(part));
  }

  private void arrive(double perSecond, long untilMillis, Runnable request) {
    long gapMillis = (long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
    time.after(
        gapMillis,
        () -> {
          if (time.nowMillis() < untilMillis) {
            request.run();
            arrive(perSecond, untilMillis, request);
          }
        });
  }

  private static Suspect firstPart(int session) {
    return Suspect.ofPromptPart(1_000L + session % FIRST_PARTS);
  }

  private static Suspect session(int session) {
    return Suspect.ofPromptPart(10_000L + session);
  }

  private void sendSoundRequest() {
    int session = random.nextInt(SESSIONS_PER_VM * vms.size());
    List<Suspect> suspects = List.of(firstPart(session), session(session), nextContent());
    soundRequests++;
    if (!send(suspects, false)) {
      heldBackSoundRequests++;
    }
  }

  private void sendFatalRequest(int part) {
    send(
        List.of(
            firstPart(part),
            session(part),
            Suspect.ofPromptPart(100_000_000L + part),
            nextContent()),
        true);
  }

  private Suspect nextContent() {
    contents++;
    return Suspect.ofContent(7_919L * contents);
  }

  /** Sends a request to an engine; returns whether its VM has not held it back. */
  private boolean send(List<Suspect> suspects, boolean fatal) {
    Vm vm = vms.get(random.nextInt(vms.size()));
    if (vm.suspicions.admit(suspects, vm.now()) instanceof Admission.HeldBack) {
      return false;
    }
    List<Engine> running = engines.stream().filter(it -> it.up).toList();
    if (running.isEmpty()) {
      return true;
    }
    if (fatal) {
      long now = time.nowMillis();
      fatalSends.add(new FatalSend(now, now - vm.startedAtMillis));
    }
    Engine engine = running.get(random.nextInt(running.size()));
    Request request = new Request(vm, suspects, vm.now());
    engine.inFlight.add(request);
    time.after(
        MIN_PREFILL_MILLIS + random.nextInt(PREFILL_SPREAD_MILLIS),
        () -> beginAnswer(engine, request, fatal));
    return true;
  }

  private void beginAnswer(Engine engine, Request request, boolean fatal) {
    if (request.ended) {
      return;
    }
    if (fatal) {
      crash(engine);
    } else {
      time.after(random.nextInt(ANSWER_SPREAD_MILLIS), () -> answer(engine, request));
    }
  }

  private void answer(Engine engine, Request request) {
    if (!request.ended) {
      request.ended = true;
      engine.inFlight.remove(request);
      if (request.suspicions == request.vm.suspicions) {
        request.suspicions.recordAnswer(request.suspects, request.vm.now());
      }
    }
  }

  private void crash(Engine engine) {
    crashMillis.add(time.nowMillis());
    int run = engine.run;
    engine.up = false;
    for (Request request : engine.inFlight) {
      request.ended = true;
      if (request.suspicions == request.vm.suspicions) {
        request.suspicions.recordBrokenAnswer(
            request.suspects, run, request.sentAtMillis, request.vm.now());
      }
    }
    vms.forEach(vm -> vm.suspicions.recordUpstreamGone(run, vm.now() + 2));
    engine.inFlight.clear();
    time.after(
        RESTART_MILLIS,
        () -> {
          engine.run = engineRuns++;
          engine.up = true;
        });
  }

  /** Crashes a share of the engines at the same moment, as a loss of power does. */
  void crashTogether(double share) {
    engines.stream()
        .limit((long) (share * engines.size()))
        .filter(it -> it.up)
        .forEach(this::crash);
  }

  /** Restarts the VMs from the first to the last index, which lose all that they know. */
  void restartVms(int first, int last) {
    vms.subList(first, last).forEach(Vm::start);
  }

  /** Sets which VMs can send to which. */
  void setLink(BiPredicate<Integer, Integer> canSend) {
    link = canSend;
  }

  void setLossShare(double share) {
    lossShare = share;
  }

  int size() {
    return vms.size();
  }

  int crashes() {
    return crashMillis.size();
  }

  /**
   * Returns the fatal requests that VMs sent although they had been running for the time and the
   * fifth crash was longer ago.
   */
  long fatalSendsLaterThan(long stableMillis) {
    if (crashMillis.size() < 5) {
      return 0;
    }
    long limit = crashMillis.get(4) + stableMillis;
    return fatalSends.stream()
        .filter(it -> it.atMillis() > limit && it.upMillis() > stableMillis)
        .count();
  }

  /** Returns the share of sound requests that were held back. */
  double heldBackSoundShare() {
    return (double) heldBackSoundRequests / soundRequests;
  }
}
