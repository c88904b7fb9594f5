package org.ragworttide.coordination.zones;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.OutlierDetector;

/**
 * Replay of a fleet of VMs that find out by checks and by each other's statements which
 * availability zones they reach. The VMs and upstreams are spread evenly over the zones.
 *
 * <p>Invariant: the same seed gives the same replay. Confined to one thread.
 *
 * @param <V> a VM with what the replay records of it
 */
abstract class ReachabilityFleet<V extends ReachabilityFleet.Vm> {
  static final long TICK_MILLIS = 10;
  static final long CONNECT_TIMEOUT_MILLIS = 400;
  static final long ROUND_TRIP_MILLIS = 3;
  static final int ZONES = 3;
  static final int UPSTREAMS = 63;

  private static final long STATEMENT_MILLIS = 150;
  private static final int SMALL_FLEET_VMS = 16;
  private static final int SAMPLED_VMS = 2;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Draws requests, upstreams and lost connections. */
  final SplittableRandom random;

  final List<V> vms = new ArrayList<>();
  long now;
  int wronglyLost;

  /** Draws the upstreams of checks and the recipients of statements. */
  private final SplittableRandom samples;

  private final double lostConnections;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::number));
  private long scheduled;

  private record Event(long atMillis, long number, Runnable action) {}

  /** A VM of the fleet. */
  static class Vm {
    final int number;
    final ZoneReachability zones = new ZoneReachability();
    final OutlierDetector detector = new OutlierDetector();

    Vm(int number) {
      this.number = number;
    }

    int zone() {
      return number % ZONES;
    }
  }

  /**
   * Creates a fleet.
   *
   * @param lostConnections the share of connections that fail on sound ways
   */
  ReachabilityFleet(int count, IntFunction<V> newVm, double lostConnections, long seed) {
    this.lostConnections = lostConnections;
    this.random = new SplittableRandom(seed);
    this.samples = new SplittableRandom(~seed);
    for (int i = 0; i < count; i++) {
      vms.add(newVm.apply(i));
    }
  }

  /** Returns whether there is a way from the VM to the zone now. */
  abstract boolean isReachable(V vm, int zone);

  /** Plays what happens at this time, apart from scheduled events. */
  abstract void step();

  /** Handles a request that is received now. */
  abstract void receive(V vm);

  /** Handles the start of a check's connection. */
  void checkStarted(V vm) {}

  /** Handles the failure of a check's connection. */
  void checkFailed(V vm, int upstream) {}

  /** Handles the verdict of a VM that it cannot reach the zone. */
  void zoneLost(V vm, ZoneId zone) {}

  /** Delivers the statement of a VM. */
  void deliver(V from, V to) {
    if (to.zone() == from.zone()) {
      from.zones.unreachable().forEach(zone -> to.zones.recordPeerVerdict(zone, now));
    }
  }

  final void play(double requestsPerSecond, long endMillis) {
    for (now = 0; now < endMillis; now += TICK_MILLIS) {
      double due = requestsPerSecond * TICK_MILLIS / MILLIS_PER_SECOND + random.nextDouble();
      for (; due >= 1; due--) {
        receive(vms.get(random.nextInt(vms.size())));
      }
      while (!events.isEmpty() && events.peek().atMillis() <= now) {
        events.poll().action().run();
      }
      step();
    }
  }

  final void after(long millis, Runnable action) {
    events.add(new Event(now + millis, scheduled++, action));
  }

  final boolean connects(V vm, int zone) {
    return isReachable(vm, zone) && random.nextDouble() >= lostConnections;
  }

  /** Starts and ends the checks of the VM that are due. */
  final void check(V vm) {
    for (ZoneReachability.Check check : vm.zones.startChecks(now)) {
      int zone = number(check.zone());
      samples
          .ints(0, UPSTREAMS / ZONES)
          .distinct()
          .limit(check.upstreams())
          .map(it -> it * ZONES + zone)
          .forEach(upstream -> check(vm, upstream));
    }
    for (ZoneId zone : vm.zones.endChecks(now)) {
      wronglyLost += isReachable(vm, number(zone)) ? 1 : 0;
      zoneLost(vm, zone);
    }
  }

  private void check(V vm, int upstream) {
    checkStarted(vm);
    if (connects(vm, upstream % ZONES)) {
      after(ROUND_TRIP_MILLIS, () -> vm.zones.recordContact(zone(upstream % ZONES), now));
    } else {
      checkFailed(vm, upstream);
    }
  }

  /** Sends the statement of the VM if one is due. */
  final void state(V from) {
    if ((now + from.number * TICK_MILLIS) % STATEMENT_MILLIS != 0) {
      return;
    }
    if (vms.size() <= SMALL_FLEET_VMS) {
      vms.stream().filter(it -> it != from).forEach(to -> deliver(from, to));
    } else {
      samples
          .ints(0, vms.size())
          .filter(it -> vms.get(it) != from)
          .distinct()
          .limit(SAMPLED_VMS)
          .forEach(it -> deliver(from, vms.get(it)));
    }
  }

  static ZoneId zone(int number) {
    return new ZoneId(Integer.toString(number));
  }

  static int number(ZoneId zone) {
    return Integer.parseInt(zone.value());
  }

  static UpstreamId id(int upstream) {
    return new UpstreamId("upstream-" + upstream);
  }
}
