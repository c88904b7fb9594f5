package org.ragworttide.coordination.zones;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Replay of VMs that are cut off from all upstreams, and of the tunnels that other VMs open for
 * them. Requests are placed as the gateway does it, each on a new connection, and VMs always reach
 * each other. Confined to one thread.
 */
final class TunnelFleet extends ReachabilityFleet<TunnelFleet.TunnelVm> {
  static final long CUT_FROM_MILLIS = 2_000;

  /** Time after the beginning of a cut from which stranded VMs have to serve as the others do. */
  static final long STABLE_MILLIS = 3_000;

  static final double REQUESTS_PER_SECOND_AND_VM = 4;

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long CHECK_TICK_MILLIS = 50;
  private static final long SLOW_CONNECT_MILLIS = 100;
  private static final long DOWN_MILLIS = 1_000;
  private static final long REQUEST_MILLIS = 500;
  private static final long SERVED_WITHIN_MILLIS = 1_000;
  private static final int MAX_UNREACHABLE_UPSTREAMS = 3;
  private static final int MAX_TUNNELS = 512;

  /** The VMs that are cut off from all upstreams. */
  enum Cut {
    NONE,
    ONE,
    HALF,
    ZONE,
    ALL_BUT_ONE,
    ALL;

    private boolean strands(int vm, int count) {
      return switch (this) {
        case NONE -> false;
        case ONE -> vm == 0;
        case HALF -> vm < count / 2;
        case ZONE -> vm % ZONES == 0;
        case ALL_BUT_ONE -> vm > 0;
        case ALL -> true;
      };
    }
  }

  /** What becomes of new connections of stranded VMs. */
  enum Manner {
    SILENT,
    REFUSING
  }

  /**
   * A replay.
   *
   * @param cut the VMs that are cut off
   * @param manner what becomes of their connections
   * @param cuts the number of cuts
   * @param cutMillis how long each lasts
   * @param gapMillis the time between two of them
   * @param lostConnections the share of connections that fail on sound ways
   * @param lostStatements the share of statements that are lost
   * @param deadHelper whether the busiest helping VM fails in the middle of the first cut
   * @param tunnels whether VMs use the ways of others
   */
  record Scenario(
      Cut cut,
      Manner manner,
      int cuts,
      long cutMillis,
      long gapMillis,
      double lostConnections,
      double lostStatements,
      boolean deadHelper,
      boolean tunnels) {

    static Scenario of(Cut cut, Manner manner) {
      return new Scenario(cut, manner, 1, 8_000, 0, 0, 0, false, true);
    }

    Scenario withoutTunnels() {
      return new Scenario(
          cut,
          manner,
          cuts,
          cutMillis,
          gapMillis,
          lostConnections,
          lostStatements,
          deadHelper,
          false);
    }

    Scenario inShortCuts() {
      return new Scenario(
          cut, manner, 6, 1_500, 500, lostConnections, lostStatements, deadHelper, tunnels);
    }

    Scenario losing(double connections, double statements) {
      return new Scenario(
          cut, manner, cuts, cutMillis, gapMillis, connections, statements, deadHelper, tunnels);
    }

    Scenario withDeadHelper() {
      return new Scenario(
          cut, manner, cuts, cutMillis, gapMillis, lostConnections, lostStatements, true, tunnels);
    }

    long endOfCutsMillis() {
      return CUT_FROM_MILLIS + cuts * (cutMillis + gapMillis) - gapMillis;
    }

    private boolean isCut(long nowMillis) {
      return nowMillis >= CUT_FROM_MILLIS
          && nowMillis < endOfCutsMillis()
          && (nowMillis - CUT_FROM_MILLIS) % (cutMillis + gapMillis) < cutMillis;
    }

    private boolean isCounted(long nowMillis) {
      return nowMillis >= CUT_FROM_MILLIS + STABLE_MILLIS
          && nowMillis < endOfCutsMillis() - SERVED_WITHIN_MILLIS;
    }

    private long endMillis() {
      return endOfCutsMillis() + 3_000;
    }
  }

  /** A VM with what is counted of it. */
  static final class TunnelVm extends Vm {
    final TunnelPeers peers = new TunnelPeers(number % ZONES);
    final Map<Long, Integer> connectionsBySecond = new HashMap<>();
    final Map<Long, Integer> checksBySecond = new HashMap<>();
    boolean alive = true;
    long verdictAtMillis = -1;
    long ownWaysAtMillis = -1;
    int received;
    int served;
    int carried;
    int mostTunnels;

    private final Map<Integer, Long> downUntilMillis = new HashMap<>();
    private final Set<Connecting> connecting = new LinkedHashSet<>();
    private int tunnels;

    TunnelVm(int number) {
      super(number);
    }

    private static void count(Map<Long, Integer> bySecond, long nowMillis) {
      bySecond.merge(nowMillis / MILLIS_PER_SECOND, 1, Integer::sum);
    }
  }

  /** A connection on the VM's own way that is not open yet. */
  private static final class Connecting {
    private final int upstream;
    private final Runnable zoneLost;
    private boolean ended;

    private Connecting(int upstream, Runnable zoneLost) {
      this.upstream = upstream;
      this.zoneLost = zoneLost;
    }
  }

  private static final class Request {
    private final TunnelVm vm;
    private final long number;
    private final long receivedAtMillis;
    private final Set<Integer> tried = new HashSet<>();
    private final Deque<Integer> unreached = new ArrayDeque<>();
    private int unreachable;
    private long askedAtMillis;

    private Request(TunnelVm vm, long number, long receivedAtMillis) {
      this.vm = vm;
      this.number = number;
      this.receivedAtMillis = receivedAtMillis;
    }
  }

  final Scenario scenario;
  long lastAskedInCutMillis;
  int askedAfterFirstSecond;
  long longestRefusalMillis;
  int opened;
  int asked;

  private long requests;

  private TunnelFleet(int count, Scenario scenario, long seed) {
    super(count, TunnelVm::new, scenario.lostConnections(), seed);
    this.scenario = scenario;
  }

  static TunnelFleet play(int count, Scenario scenario, long seed) {
    TunnelFleet fleet = new TunnelFleet(count, scenario, seed);
    fleet.play(REQUESTS_PER_SECOND_AND_VM * count, scenario.endMillis());
    return fleet;
  }

  boolean isStranded(TunnelVm vm) {
    return scenario.cut().strands(vm.number, vms.size());
  }

  List<TunnelVm> stranded() {
    return vms.stream().filter(this::isStranded).toList();
  }

  List<TunnelVm> helpers() {
    return vms.stream().filter(it -> !isStranded(it)).toList();
  }

  /** Returns the share of requests served at these VMs from {@link #STABLE_MILLIS} on. */
  static double servedShare(List<TunnelVm> vms) {
    double received = vms.stream().mapToInt(it -> it.received).sum();
    return received == 0 ? 1 : vms.stream().mapToInt(it -> it.served).sum() / received;
  }

  /**
   * Returns whether stranded VMs serve at least two thirds as often as the others, or fail at most
   * ten and one in fifty of all requests.
   */
  boolean isRecovered() {
    List<TunnelVm> stranded = stranded();
    int failed = stranded.stream().mapToInt(it -> it.received - it.served).sum();
    int all = vms.stream().mapToInt(it -> it.received).sum();
    return servedShare(stranded) * 3 >= servedShare(helpers()) * 2 || failed <= 10 + all / 50;
  }

  @Override
  boolean isReachable(TunnelVm vm, int zone) {
    return !(scenario.isCut(now) && isStranded(vm));
  }

  @Override
  void receive(TunnelVm vm) {
    if (!vm.alive) {
      return;
    }
    if (scenario.isCounted(now)) {
      vm.received++;
    }
    place(new Request(vm, requests++, now));
  }

  @Override
  void step() {
    if (scenario.deadHelper() && now == CUT_FROM_MILLIS + scenario.cutMillis() / 2) {
      helpers().stream()
          .max(Comparator.comparingInt(it -> it.tunnels))
          .ifPresent(it -> it.alive = false);
    }
    for (TunnelVm vm : vms) {
      if (!vm.alive) {
        continue;
      }
      if ((now + vm.number * TICK_MILLIS) % CHECK_TICK_MILLIS == 0) {
        check(vm);
        vm.peers.expire(now);
      }
      state(vm);
      recordVerdicts(vm);
    }
  }

  private void recordVerdicts(TunnelVm vm) {
    int unreachable = vm.zones.unreachable().size();
    if (vm.verdictAtMillis < 0 && unreachable == ZONES) {
      vm.verdictAtMillis = now;
    }
    if (now >= scenario.endOfCutsMillis() && vm.ownWaysAtMillis < 0 && unreachable == 0) {
      vm.ownWaysAtMillis = now;
    }
  }

  @Override
  void deliver(TunnelVm from, TunnelVm to) {
    if (!to.alive || random.nextDouble() < scenario.lostStatements()) {
      return;
    }
    super.deliver(from, to);
    to.peers.recordStatement(
        from.number,
        from.zone(),
        from.zones.unreachable().stream().map(ReachabilityFleet::number).toList(),
        now);
  }

  @Override
  void checkStarted(TunnelVm vm) {
    TunnelVm.count(vm.checksBySecond, now);
  }

  @Override
  void checkFailed(TunnelVm vm, int upstream) {
    after(failureMillis(vm), () -> recordFailure(vm, upstream));
  }

  @Override
  void zoneLost(TunnelVm vm, ZoneId zone) {
    List<Connecting> givenUp =
        vm.connecting.stream().filter(it -> it.upstream % ZONES == number(zone)).toList();
    givenUp.forEach(
        it -> {
          it.ended = true;
          vm.connecting.remove(it);
          it.zoneLost.run();
        });
  }

  /** Returns the time after which a connection that fails has done so. */
  private long failureMillis(TunnelVm vm) {
    return isRefused(vm) ? ROUND_TRIP_MILLIS : CONNECT_TIMEOUT_MILLIS;
  }

  private boolean isRefused(TunnelVm vm) {
    return scenario.manner() == Manner.REFUSING && !isReachable(vm, 0);
  }

  private void recordFailure(TunnelVm vm, int upstream) {
    if (isRefused(vm)) {
      vm.zones.recordRefusal(zone(upstream % ZONES), id(upstream));
    } else {
      vm.zones.recordSuspicion(zone(upstream % ZONES));
    }
  }

  private void place(Request request) {
    OptionalInt upstream = choose(request);
    if (upstream.isPresent()) {
      connect(request, upstream.getAsInt());
    } else {
      reachThroughPeer(request);
    }
  }

  private OptionalInt choose(Request request) {
    TunnelVm vm = request.vm;
    Set<ZoneId> unreachable = vm.zones.unreachable();
    int[] untried = untried(request, it -> !unreachable.contains(zone(it)));
    if (unreachable.size() == ZONES) {
      untried = untried(request, it -> !scenario.tunnels() || vm.peers.reaches(it, now));
    }
    int[] healthy =
        IntStream.of(untried).filter(it -> !vm.detector.isEjected(id(it), now)).toArray();
    int[] candidates = healthy.length > 0 ? healthy : untried;
    return candidates.length == 0
        ? OptionalInt.empty()
        : OptionalInt.of(candidates[random.nextInt(candidates.length)]);
  }

  private static int[] untried(Request request, Predicate<Integer> zones) {
    return IntStream.range(0, UPSTREAMS)
        .filter(it -> zones.test(it % ZONES) && !request.tried.contains(it))
        .toArray();
  }

  private void connect(Request request, int upstream) {
    request.tried.add(upstream);
    if (scenario.tunnels() && request.vm.zones.unreachable().contains(zone(upstream % ZONES))) {
      connectThroughPeer(request, upstream);
    } else {
      TunnelVm vm = request.vm;
      connectDirectly(
          vm,
          upstream,
          () -> serve(request),
          () -> {
            if (!vm.zones.unreachable().contains(zone(upstream % ZONES))) {
              vm.detector.recordUnreachable(id(upstream), now);
            }
            request.unreached.add(upstream);
            connectFailed(request);
          });
    }
  }

  /** Connects on the VM's own way, for a request of its own or of another VM. */
  private void connectDirectly(TunnelVm vm, int upstream, Runnable success, Runnable failure) {
    TunnelVm.count(vm.connectionsBySecond, now);
    Connecting attempt = new Connecting(upstream, failure);
    vm.connecting.add(attempt);
    boolean connects = connects(vm, upstream % ZONES);
    after(
        SLOW_CONNECT_MILLIS,
        () -> {
          if (!attempt.ended) {
            vm.zones.recordSuspicion(zone(upstream % ZONES));
          }
        });
    after(
        connects ? ROUND_TRIP_MILLIS : failureMillis(vm),
        () -> {
          if (attempt.ended || !vm.alive) {
            return;
          }
          attempt.ended = true;
          vm.connecting.remove(attempt);
          if (connects) {
            vm.zones.recordContact(zone(upstream % ZONES), now);
            success.run();
          } else {
            recordFailure(vm, upstream);
            failure.run();
          }
        });
  }

  private void connectThroughPeer(Request request, int upstream) {
    TunnelVm vm = request.vm;
    Optional<Long> peer =
        vm.peers.choose(upstream % ZONES, Rendezvous.weight(request.number, 0), now);
    if (peer.isEmpty()) {
      connectFailed(request);
      return;
    }
    asked++;
    if (scenario.isCut(now)) {
      lastAskedInCutMillis = now - CUT_FROM_MILLIS;
      askedAfterFirstSecond += lastAskedInCutMillis > MILLIS_PER_SECOND ? 1 : 0;
    }
    vm.peers.recordOpening(peer.get());
    request.askedAtMillis = now;
    TunnelVm helper = vms.get(Math.toIntExact(peer.get()));
    if (!helper.alive) {
      after(CONNECT_TIMEOUT_MILLIS, () -> tunnelFailed(request, helper, true));
    } else {
      after(ROUND_TRIP_MILLIS, () -> carry(request, upstream, helper));
    }
  }

  private void carry(Request request, int upstream, TunnelVm helper) {
    if (helper.tunnels >= MAX_TUNNELS) {
      after(ROUND_TRIP_MILLIS, () -> tunnelFailed(request, helper, true));
      return;
    }
    if (helper.zones.unreachable().contains(zone(upstream % ZONES))) {
      after(ROUND_TRIP_MILLIS, () -> tunnelFailed(request, helper, false));
      return;
    }
    helper.tunnels++;
    helper.mostTunnels = Math.max(helper.mostTunnels, helper.tunnels);
    connectDirectly(
        helper,
        upstream,
        () -> {
          opened++;
          helper.carried++;
          request.vm.peers.recordOpened(helper.number, now);
          serve(request);
          after(
              REQUEST_MILLIS,
              () -> {
                helper.tunnels--;
                request.vm.peers.recordClosed(helper.number);
              });
        },
        () -> {
          helper.tunnels--;
          request.vm.downUntilMillis.put(upstream, now + DOWN_MILLIS);
          request.vm.detector.recordUnreachable(id(upstream), now);
          tunnelFailed(request, helper, false);
        });
  }

  private void tunnelFailed(Request request, TunnelVm helper, boolean byHelper) {
    request.vm.peers.recordClosed(helper.number);
    if (byHelper) {
      request.vm.peers.recordFailure(helper.number, request.askedAtMillis, now);
    }
    connectFailed(request);
  }

  private void connectFailed(Request request) {
    request.unreachable++;
    if (request.unreachable < MAX_UNREACHABLE_UPSTREAMS) {
      place(request);
    } else {
      reachThroughPeer(request);
    }
  }

  private void reachThroughPeer(Request request) {
    TunnelVm vm = request.vm;
    while (scenario.tunnels() && !request.unreached.isEmpty()) {
      int upstream = request.unreached.poll();
      if (now >= vm.downUntilMillis.getOrDefault(upstream, now)
          && vm.peers.reaches(upstream % ZONES, now)) {
        connectThroughPeer(request, upstream);
        return;
      }
    }
    if (scenario.isCounted(request.receivedAtMillis)) {
      longestRefusalMillis = Math.max(longestRefusalMillis, now - request.receivedAtMillis);
    }
  }

  private void serve(Request request) {
    if (scenario.isCounted(request.receivedAtMillis)
        && now - request.receivedAtMillis <= SERVED_WITHIN_MILLIS) {
      request.vm.served++;
    }
  }

  /** Returns the most that any of the VMs has counted in a second. */
  static int most(List<TunnelVm> vms, Function<TunnelVm, Map<Long, Integer>> bySecond) {
    return vms.stream()
        .flatMap(it -> bySecond.apply(it).values().stream())
        .mapToInt(it -> it)
        .max()
        .orElse(0);
  }

  /** Returns the longest of times after a moment, in milliseconds. */
  static long longestAfter(List<Long> timesMillis, long sinceMillis) {
    return timesMillis.stream()
        .mapToLong(it -> it < 0 ? Long.MAX_VALUE : it - sinceMillis)
        .max()
        .orElse(0);
  }
}
