package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongToIntFunction;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays fleets of VMs that send to upstreams which fail when they reject many requests. */
public class BrittleFleetTest {
  private static final ZoneId ZONE = new ZoneId("z");
  private static final int SERVICE = 1;
  private static final int SMALL_FLEET_VMS = 16;
  private static final long STATEMENT_MILLIS = 150;
  private static final long ANSWER_TIMEOUT_MILLIS = 60;
  private static final long BEGIN_MILLIS = 1_000_000;
  private static final long BRITTLE_FROM_MILLIS = BEGIN_MILLIS + 5_000;
  private static final long FULL_FROM_MILLIS = BRITTLE_FROM_MILLIS + 3_000;
  private static final long BRITTLE_UNTIL_MILLIS = BEGIN_MILLIS + 25_000;
  private static final long END_MILLIS = BEGIN_MILLIS + 28_000;
  private static final long TROUBLE_MILLIS = BEGIN_MILLIS + 14_000;
  private static final long DOWN_MILLIS = 3_000;
  private static final long BURST_PERIOD_MILLIS = 4_000;
  private static final long BURST_MILLIS = 1_000;
  private static final int USUAL_QUEUE = 4;
  private static final double LOST_DATAGRAMS = 0.01;
  private static final long REPEAT_MILLIS = 100;
  private static final long HEAD_MILLIS = 50;
  private static final int MAX_TRIES = 3;

  /** Upstreams of one service. */
  enum Service {
    SMALL(3, 6, 60, 140),
    ENGINES(13, 96, 1_000, 5_000);

    private final int upstreams;
    private final int slots;
    private final int minMillis;
    private final int maxMillis;

    Service(int upstreams, int slots, int minMillis, int maxMillis) {
      this.upstreams = upstreams;
      this.slots = slots;
      this.minMillis = minMillis;
      this.maxMillis = maxMillis;
    }

    private double perMilli() {
      return 2.0 * upstreams * slots / (minMillis + maxMillis);
    }
  }

  /** What happens in the middle of the brittle time, besides. */
  enum Trouble {
    NONE,
    CRASH,
    VMS_GONE
  }

  private record Event(long atMillis, long number, Runnable action) {}

  /** A request in flight, and the VM that counts it, if any. */
  private record Open(int key, OptionalLong owner) {}

  private record Request(Vm vm, Set<Integer> tried) {}

  /** One incarnation of an upstream. */
  private static final class Server {
    private final int number;
    private final int incarnation;
    private final Deque<Long> rejections = new ArrayDeque<>();
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int running;
    private boolean isDown;

    private Server(int number, int incarnation) {
      this.number = number;
      this.incarnation = incarnation;
    }
  }

  private static final class Vm {
    private final int number;
    private final PeerLoads peers = new PeerLoads();
    private final RejectionTolerance tolerance = new RejectionTolerance(SERVICE);
    private final BrittlePermits permits = new BrittlePermits(peers.members(), 0);
    private final ServicePlacement placement;
    private final Map<Server, UpstreamLoad> loads = new HashMap<>();
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private long questions;
    private long sequence;

    private Vm(int number, SplittableRandom random) {
      this.number = number;
      this.placement = new ServicePlacement(ZONE, random);
    }
  }

  /** A fleet and the upstreams of one service. */
  private static final class Fleet {
    private final SplittableRandom random;
    private final Service service;
    private final LongToIntFunction tolerated;
    private final boolean decides;
    private final Trouble trouble;
    private final List<Vm> vms = new ArrayList<>();
    private final Map<Integer, OptionalLong> owners = new HashMap<>();
    private final Map<Long, Vm> byNumber = new HashMap<>();
    private final Server[] servers;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(
            Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private long now = BEGIN_MILLIS;
    private long eventNumber;
    private double burst;
    private double load;
    private boolean staysCalm;
    private int falls;
    private int received;
    private int served;

    private Fleet(
        int count,
        Service service,
        LongToIntFunction tolerated,
        boolean decides,
        Trouble trouble,
        long seed) {
      this.random = new SplittableRandom(seed);
      this.service = service;
      this.tolerated = tolerated;
      this.decides = decides;
      this.trouble = trouble;
      this.servers = new Server[service.upstreams];
      for (int i = 0; i < count; i++) {
        vms.add(new Vm(i, random.split()));
      }
      for (int i = 0; i < service.upstreams; i++) {
        servers[i] = new Server(i, 0);
      }
      tellMembers();
    }

    private void tellMembers() {
      owners.clear();
      byNumber.clear();
      vms.forEach(it -> byNumber.put((long) it.number, it));
      List<Long> all = vms.stream().map(it -> (long) it.number).toList();
      for (Vm vm : vms) {
        vm.peers.members().set(vm.number, all.stream().filter(it -> it != vm.number).toList(), now);
        vm.peers.setKnownPeers(vms.size() - 1);
      }
    }

    private void after(long millis, Runnable action) {
      eventNumber++;
      events.add(new Event(now + millis, eventNumber, action));
    }

    private Fleet play(double load, double burst, boolean staysCalm) {
      this.load = load;
      this.burst = burst;
      this.staysCalm = staysCalm;
      after(0, this::arrive);
      for (Vm vm : vms) {
        after(random.nextLong(STATEMENT_MILLIS), () -> state(vm));
      }
      after(TROUBLE_MILLIS - now, this::trouble);
      while (!events.isEmpty() && events.peek().atMillis() < END_MILLIS) {
        Event event = events.poll();
        now = event.atMillis();
        event.action().run();
      }
      return this;
    }

    private void trouble() {
      if (trouble == Trouble.CRASH) {
        fail(servers[0]);
      } else if (trouble == Trouble.VMS_GONE) {
        vms.removeIf(vm -> vm.number % 7 == 0);
        tellMembers();
      }
    }

    private void arrive() {
      boolean bursts = (now - BEGIN_MILLIS) % BURST_PERIOD_MILLIS < BURST_MILLIS;
      double perMilli = service.perMilli() * (bursts ? burst : load);
      for (double due = perMilli + random.nextDouble(); due >= 1; due--) {
        received++;
        place(new Request(vms.get(random.nextInt(vms.size())), new HashSet<>()), MAX_TRIES);
      }
      after(1, this::arrive);
    }

    private void state(Vm vm) {
      if (!vms.contains(vm)) {
        return;
      }
      vm.peers.expire(now);
      vm.sequence++;
      long sequence = vm.sequence;
      Map<Integer, Integer> inFlight = new HashMap<>();
      vm.loads.values().forEach(it -> inFlight.merge(it.key(), it.inFlight(), Integer::sum));
      List<StatedTolerance> stated = vm.tolerance.news(now).stream().toList();
      long sentAtMillis = now;
      boolean all = vms.size() <= SMALL_FLEET_VMS;
      for (int i = 0; i < (all ? vms.size() : 2); i++) {
        Vm to = vms.get(all ? i : random.nextInt(vms.size()));
        if (to != vm) {
          datagram(
              () -> {
                to.peers.recordStatement(new VmId("vm-" + vm.number), 1, sequence, inFlight, now);
                long late = now - sentAtMillis;
                stated.forEach(it -> to.tolerance.record(it.moveTime(late), now));
                claim(to);
              });
        }
      }
      after(STATEMENT_MILLIS, () -> state(vm));
    }

    private void datagram(Runnable arrival) {
      if (random.nextDouble() >= LOST_DATAGRAMS) {
        after(1 + random.nextLong(4), arrival);
      }
    }

    private void place(Request request, int tries) {
      Vm vm = request.vm();
      List<UpstreamLoad> candidates = new ArrayList<>();
      for (Server server : servers) {
        if (!server.isDown && !request.tried().contains(server.number)) {
          candidates.add(load(vm, server));
        }
      }
      if (tries == 0 || candidates.isEmpty()) {
        return;
      }
      UpstreamLoad chosen = vm.placement.choose(candidates, now).orElseThrow();
      Server server = servers[Integer.parseInt(chosen.id().value())];
      request.tried().add(server.number);
      vm.questions++;
      long number = vm.questions;
      int key = chosen.incarnationKey();
      if (!decides || vm.tolerance.perSecond(now).isEmpty()) {
        vm.open.put(number, new Open(key, OptionalLong.empty()));
        send(request, server, tries, number);
      } else {
        ask(request, server, tries, number, key);
      }
    }

    private UpstreamLoad load(Vm vm, Server server) {
      return vm.loads.computeIfAbsent(
          server,
          it ->
              new UpstreamLoad(
                  new UpstreamId("" + it.number),
                  ZONE,
                  service.slots,
                  1 + it.incarnation,
                  vm.peers));
    }

    private void ask(Request request, Server server, int tries, long number, int key) {
      Vm vm = request.vm();
      OptionalLong owner = owner(vm, key);
      vm.open.put(number, new Open(key, owner));
      BrittlePermits.PermitId id = new BrittlePermits.PermitId(vm.number, number);
      boolean[] isDone = new boolean[1];
      Consumer<Boolean> answer =
          granted -> {
            if (!isDone[0]) {
              isDone[0] = true;
              if (granted) {
                send(request, server, tries, number);
              } else {
                end(vm, number, false);
                place(request, tries);
              }
            }
          };
      toVm(
          owner.getAsLong(),
          it -> {
            boolean granted = grant(it, key, id);
            datagram(() -> answer.accept(granted));
          });
      after(ANSWER_TIMEOUT_MILLIS, () -> answer.accept(false));
    }

    /** Tells the owners of requests that they do not count yet. */
    private void claim(Vm vm) {
      if (!decides || vm.tolerance.perSecond(now).isEmpty()) {
        return;
      }
      for (Map.Entry<Long, Open> entry : vm.open.entrySet()) {
        int key = entry.getValue().key();
        OptionalLong owner = owner(vm, key);
        if (!owner.equals(entry.getValue().owner())) {
          BrittlePermits.PermitId id = new BrittlePermits.PermitId(vm.number, entry.getKey());
          entry.setValue(new Open(key, owner));
          toVm(owner.getAsLong(), it -> it.permits.recordRunning(key, id, terms(it), now));
        }
      }
    }

    private void end(Vm vm, long number, boolean isRejected) {
      Open open = vm.open.remove(number);
      if (open.owner().isPresent()) {
        BrittlePermits.PermitId id = new BrittlePermits.PermitId(vm.number, number);
        Runnable report =
            () ->
                toVm(
                    open.owner().getAsLong(),
                    it -> it.permits.recordEnd(open.key(), id, isRejected, now));
        report.run();
        after(REPEAT_MILLIS, report);
      }
    }

    private BrittlePermits.Terms terms(Vm owner) {
      OptionalInt known = owner.tolerance.perSecond(now);
      return new BrittlePermits.Terms(
          service.slots,
          known.orElseGet(() -> tolerated.applyAsInt(now)),
          known.isPresent() ? owner.tolerance.sinceMillis() : now);
    }

    private OptionalLong owner(Vm vm, int key) {
      return owners.computeIfAbsent(key, it -> vm.peers.members().owner(it, now));
    }

    private boolean grant(Vm owner, int key, BrittlePermits.PermitId id) {
      return owner.permits.tryGrant(key, id, terms(owner), now);
    }

    private void toVm(long number, Consumer<Vm> action) {
      datagram(() -> Optional.ofNullable(byNumber.get(number)).ifPresent(action));
    }

    private void send(Request request, Server server, int tries, long number) {
      UpstreamLoad load = load(request.vm(), server);
      load.recordStart(now);
      after(
          1 + random.nextLong(3),
          () -> {
            if (server.isDown) {
              finish(request.vm(), load, number, false);
              place(request, tries - 1);
            } else if (server.running + server.waiting.size() >= service.slots + queue()) {
              reject(server);
              answer(request, server);
              finish(request.vm(), load, number, true);
              place(request, tries - 1);
            } else {
              accept(request, server, load, number);
            }
          });
    }

    private void accept(Request request, Server server, UpstreamLoad load, long number) {
      Runnable run =
          () -> {
            after(HEAD_MILLIS, () -> answer(request, server));
            after(
                random.nextInt(service.minMillis, service.maxMillis),
                () -> {
                  finish(request.vm(), load, number, false);
                  if (!server.isDown) {
                    served++;
                    server.running--;
                    start(server);
                  }
                });
          };
      server.waiting.add(run);
      start(server);
    }

    private void start(Server server) {
      while (server.running < service.slots && !server.waiting.isEmpty()) {
        server.running++;
        server.waiting.poll().run();
      }
    }

    private void finish(Vm vm, UpstreamLoad load, long number, boolean isRejected) {
      load.recordEnd();
      end(vm, number, isRejected);
    }

    private void answer(Request request, Server server) {
      request
          .vm()
          .tolerance
          .recordAnswer(load(request.vm(), server).incarnationKey(), stated(), now);
      claim(request.vm());
    }

    private boolean isBrittle() {
      return now >= BRITTLE_FROM_MILLIS && now < BRITTLE_UNTIL_MILLIS;
    }

    private OptionalInt stated() {
      return isBrittle() ? OptionalInt.of(tolerated.applyAsInt(now)) : OptionalInt.empty();
    }

    private int queue() {
      return !staysCalm && isBrittle() && now >= FULL_FROM_MILLIS ? 0 : USUAL_QUEUE;
    }

    private void reject(Server server) {
      server.rejections.addLast(now);
      while (now - server.rejections.getFirst() >= 1_000) {
        server.rejections.removeFirst();
      }
      boolean isBinding = now >= FULL_FROM_MILLIS && isBrittle();
      if (isBinding && server.rejections.size() > tolerated.applyAsInt(now)) {
        falls++;
        fail(server);
      }
    }

    private void fail(Server server) {
      server.isDown = true;
      after(
          DOWN_MILLIS,
          () -> servers[server.number] = new Server(server.number, server.incarnation + 1));
    }

    private double allowedFalls() {
      return 2 + service.upstreams / 10.0;
    }
  }

  /** Fleets, services and tolerances. */
  @DataProvider
  public Object[][] fleets() {
    List<Object[]> all = new ArrayList<>();
    for (int vms : new int[] {7, 95, 345}) {
      for (Service service : Service.values()) {
        for (int tolerated : new int[] {2, 5, 20}) {
          all.add(new Object[] {vms, service, (LongToIntFunction) millis -> tolerated});
        }
        all.add(
            new Object[] {
              vms, service, (LongToIntFunction) millis -> millis / 2_500 % 2 == 0 ? 12 : 3
            });
      }
    }
    return all.toArray(Object[][]::new);
  }

  /** Guards against VMs that each send until they are rejected, so that upstreams fall over. */
  @Test(dataProvider = "fleets")
  public void burstsDoNotFellBrittleUpstreams(
      int vms, Service service, LongToIntFunction tolerated) {
    for (Trouble trouble : Trouble.values()) {
      long seed = trouble.ordinal() + 1;
      Fleet fleet = new Fleet(vms, service, tolerated, true, trouble, seed).play(0.7, 2, false);
      assertTrue(
          fleet.falls <= fleet.allowedFalls(),
          fleet.falls + " falls, trouble " + trouble + ", seed " + seed);
    }
  }

  /** Shows that the load of the replay fells upstreams where nothing is decided. */
  @Test(dataProvider = "fleets")
  public void burstsFellBrittleUpstreamsWithoutPermits(
      int vms, Service service, LongToIntFunction tolerated) {
    Fleet fleet = new Fleet(vms, service, tolerated, false, Trouble.NONE, 1).play(0.7, 2, false);
    assertTrue(fleet.falls > fleet.allowedFalls(), fleet.falls + " falls");
  }

  /** Guards against refusals where brittle upstreams have room. */
  @Test(dataProvider = "fleets")
  public void calmBrittleUpstreamsServeAsBefore(
      int vms, Service service, LongToIntFunction tolerated) {
    Fleet before =
        new Fleet(vms, service, millis -> Integer.MAX_VALUE, false, Trouble.NONE, 1)
            .play(0.5, 0.5, true);
    Fleet fleet = new Fleet(vms, service, tolerated, true, Trouble.NONE, 1).play(0.5, 0.5, true);
    assertEquals(fleet.falls, 0);
    double share = (double) fleet.served / fleet.received;
    double shareBefore = (double) before.served / before.received;
    assertTrue(share >= 0.99 * shareBefore, share + " served, " + shareBefore + " before");
  }
}
