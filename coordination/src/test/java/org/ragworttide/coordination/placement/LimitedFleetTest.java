package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays fleets of VMs that send to upstreams which name request limits. */
public class LimitedFleetTest {
  private static final long TICK_MILLIS = 10;
  private static final long STATEMENT_MILLIS = 150;
  private static final long ANSWER_MILLIS = 120;
  private static final long NAMED_FROM_MILLIS = 2_000;
  private static final long NAMED_UNTIL_MILLIS = 40_000;
  private static final long END_MILLIS = 70_000;
  private static final long STABLE_MILLIS = 3_000;
  private static final long PASSED_ON_MILLIS = 500;
  private static final long WINDOW_MILLIS = 4_000;
  private static final double LOST_STATEMENTS = 0.2;
  private static final int UPSTREAMS = 6;
  private static final int REQUESTS_PER_TICK = 4;

  private record Arrival(int vm, long atMillis) {}

  private record Answer(Vm vm, int upstream, OptionalDouble limit, long atMillis) {}

  /** One VM with a clock of its own. */
  private static final class Vm {
    private final int number;
    private final long clockMillis;
    private final PeerLoads peers = new PeerLoads();
    private final List<UpstreamLoad> upstreams = new ArrayList<>();
    private final LimitRotation rotation = new LimitRotation();
    private final long[] passedOnMillis = new long[UPSTREAMS];

    private Vm(int number, long clockMillis) {
      this.number = number;
      this.clockMillis = clockMillis;
      for (int i = 0; i < UPSTREAMS; i++) {
        upstreams.add(
            new UpstreamLoad(
                PlacementFixture.engine("engine-" + i, 0).id(),
                PlacementFixture.engine("engine-" + i, 0).zone(),
                96,
                0,
                peers));
        passedOnMillis[i] = Long.MAX_VALUE;
      }
    }

    private void know(List<Long> others, long nowMillis) {
      peers.members().set(number, others, clockMillis + nowMillis);
    }

    private StatedAvailability availability(int upstream) {
      return upstreams.get(upstream).availability();
    }

    private List<StatedLimit> statement(long nowMillis) {
      List<StatedLimit> known = new ArrayList<>();
      for (int i = 0; i < UPSTREAMS; i++) {
        int upstream = i;
        availability(i)
            .limitNews(clockMillis + nowMillis)
            .ifPresent(
                it ->
                    known.add(
                        new StatedLimit(
                            upstream, it.perSecond(), it.namedAtMillis() - clockMillis)));
      }
      return rotation.next(known);
    }

    private void receive(List<StatedLimit> statement, long nowMillis) {
      for (StatedLimit limit : statement) {
        availability(limit.upstream())
            .recordLimit(
                new RequestLimit(limit.perSecond(), limit.namedAtMillis() + clockMillis),
                clockMillis + nowMillis);
      }
    }

    private void receive(Answer answer) {
      availability(answer.upstream())
          .recordLimit(
              new RequestLimit(answer.limit(), clockMillis + answer.atMillis()),
              clockMillis + answer.atMillis());
      if (answer.limit().isPresent()) {
        passedOnMillis[answer.upstream()] =
            Math.min(passedOnMillis[answer.upstream()], answer.atMillis());
      }
    }
  }

  /** A fleet that sends requests, of which each goes to an upstream that admits it, if any. */
  private static final class Fleet {
    private final SplittableRandom random = new SplittableRandom(20261205);
    private final List<Vm> vms = new ArrayList<>();
    private final Deque<Answer> answers = new ArrayDeque<>();
    private final List<List<Arrival>> counted = new ArrayList<>();
    private final int[] sent = new int[UPSTREAMS];
    private final double perSecond;
    private int groups = 1;

    private Fleet(int count, double perSecond) {
      this.perSecond = perSecond;
      for (int i = 0; i < count; i++) {
        vms.add(new Vm(i, random.nextLong(1_000_000)));
      }
      for (int i = 0; i < UPSTREAMS; i++) {
        counted.add(new ArrayList<>());
      }
      vms.forEach(vm -> vm.know(others(vm.number), 0));
    }

    private List<Long> others(int number) {
      List<Long> others = new ArrayList<>();
      vms.forEach(
          vm -> {
            if (vm.number != number) {
              others.add((long) vm.number);
            }
          });
      return others;
    }

    private OptionalDouble limitAt(long nowMillis) {
      return nowMillis >= NAMED_FROM_MILLIS && nowMillis < NAMED_UNTIL_MILLIS
          ? OptionalDouble.of(perSecond)
          : OptionalDouble.empty();
    }

    private void play(long nowMillis) {
      while (!answers.isEmpty() && answers.getFirst().atMillis() <= nowMillis) {
        Answer answer = answers.removeFirst();
        answer.vm().receive(answer);
      }
      for (int i = 0; i < REQUESTS_PER_TICK; i++) {
        request(vms.get(random.nextInt(vms.size())), nowMillis);
      }
      if (nowMillis % STATEMENT_MILLIS == 0) {
        vms.forEach(vm -> state(vm, nowMillis));
      }
    }

    private void request(Vm vm, long nowMillis) {
      int first = random.nextInt(UPSTREAMS);
      for (int i = 0; i < UPSTREAMS; i++) {
        int upstream = (first + i) % UPSTREAMS;
        StatedAvailability availability = vm.availability(upstream);
        if (availability.admits(vm.clockMillis + nowMillis)) {
          availability.recordRequest(vm.clockMillis + nowMillis);
          sent[upstream]++;
          if (nowMillis >= NAMED_FROM_MILLIS + STABLE_MILLIS
              && nowMillis < NAMED_UNTIL_MILLIS
              && vm.passedOnMillis[upstream] <= nowMillis - PASSED_ON_MILLIS) {
            counted.get(upstream).add(new Arrival(vm.number, nowMillis));
          }
          answers.add(new Answer(vm, upstream, limitAt(nowMillis), nowMillis + ANSWER_MILLIS));
          return;
        }
      }
    }

    private void state(Vm vm, long nowMillis) {
      List<StatedLimit> statement = vm.statement(nowMillis);
      int recipients = vms.size() > 16 ? 2 : vms.size();
      for (int i = 0; i < recipients; i++) {
        Vm to = vms.size() > 16 ? vms.get(random.nextInt(vms.size())) : vms.get(i);
        if (to != vm
            && to.number % groups == vm.number % groups
            && random.nextDouble() >= LOST_STATEMENTS) {
          to.receive(statement, nowMillis);
        }
      }
    }

    private void replace(int index, long nowMillis) {
      Vm started = new Vm(vms.get(index).number, random.nextLong(1_000_000));
      vms.set(index, started);
      started.know(others(started.number), nowMillis);
    }

    private int mostInWindow() {
      int most = 0;
      for (List<Arrival> arrivals : counted) {
        int first = 0;
        for (int last = 0; last < arrivals.size(); last++) {
          while (arrivals.get(last).atMillis() - arrivals.get(first).atMillis() >= WINDOW_MILLIS) {
            first++;
          }
          most = Math.max(most, last - first + 1);
        }
      }
      return most;
    }

    private double allowed() {
      return 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
    }

    private void assertLimitIsKept() {
      int most = mostInWindow();
      assertTrue(most <= allowed(), most + " requests in a window, allowed " + allowed());
    }

    private long limitedVms(long nowMillis) {
      return vms.stream()
          .filter(
              vm -> {
                for (int i = 0; i < UPSTREAMS; i++) {
                  if (vm.availability(i).limit(vm.clockMillis + nowMillis).isPresent()) {
                    return true;
                  }
                }
                return false;
              })
          .count();
    }
  }

  /** Numbers of VMs and limits. */
  @DataProvider
  public Object[][] fleets() {
    List<Object[]> cases = new ArrayList<>();
    for (int count : new int[] {1, 2, 7, 58, 95, 345}) {
      for (double limit : new double[] {0, 0.4, 1, 2.7, 20}) {
        cases.add(new Object[] {count, limit});
      }
    }
    return cases.toArray(new Object[0][]);
  }

  /** Guards against VMs that compare a limit for the fleet with their own requests only. */
  @Test(dataProvider = "fleets")
  public void upstreamReceivesNoMoreThanTheLimitThatItNames(int count, double limit) {
    Fleet fleet = new Fleet(count, limit);
    for (long now = 0; now < END_MILLIS; now += TICK_MILLIS) {
      fleet.play(now);
    }
    fleet.assertLimitIsKept();
    assertEquals(fleet.limitedVms(END_MILLIS), 0);
  }

  @Test(dataProvider = "fleets")
  public void mostOfTheLimitIsUsed(int count, double limit) {
    Fleet fleet = new Fleet(count, limit);
    long now = 0;
    for (; now < NAMED_FROM_MILLIS + 10_000; now += TICK_MILLIS) {
      fleet.play(now);
    }
    int[] before = fleet.sent.clone();
    for (; now < NAMED_UNTIL_MILLIS; now += TICK_MILLIS) {
      fleet.play(now);
    }
    double seconds = (NAMED_UNTIL_MILLIS - NAMED_FROM_MILLIS - 10_000) / 1_000.0;
    for (int i = 0; i < UPSTREAMS; i++) {
      int sent = fleet.sent[i] - before[i];
      double part = sent / (limit * seconds);
      assertTrue(limit < 1 || part >= 0.3, count + " VMs use " + part + " of " + limit);
    }
  }

  @Test(dataProvider = "fleets")
  public void limitIsKeptWhileVmsAreReplacedInTurn(int count, double limit) {
    Fleet fleet = new Fleet(count, limit);
    for (long now = 0; now < END_MILLIS; now += TICK_MILLIS) {
      fleet.play(now);
      if (count > 2 && now % 1_000 == 0 && now >= 8_000) {
        fleet.replace((int) (now / 1_000) % count, now);
      }
    }
    fleet.assertLimitIsKept();
  }

  @Test(dataProvider = "fleets")
  public void limitIsKeptAfterTheVmThatHeardItIsKilled(int count, double limit) {
    Fleet fleet = new Fleet(count, limit);
    boolean killed = false;
    for (long now = 0; now < END_MILLIS; now += TICK_MILLIS) {
      fleet.play(now);
      if (!killed && now > NAMED_FROM_MILLIS + 300) {
        for (int vm = 0; vm < count; vm++) {
          if (fleet.vms.get(vm).passedOnMillis[0] != Long.MAX_VALUE) {
            killed = true;
            fleet.replace(vm, now);
          }
        }
      }
    }
    fleet.assertLimitIsKept();
  }

  /** Numbers of VMs, limits, and groups of VMs that hear only each other. */
  @DataProvider
  public Object[][] cuts() {
    List<Object[]> cases = new ArrayList<>();
    for (Object[] fleet : fleets()) {
      cases.add(new Object[] {fleet[0], fleet[1], 2});
      cases.add(new Object[] {fleet[0], fleet[1], fleet[0]});
    }
    return cases.toArray(new Object[0][]);
  }

  @Test(dataProvider = "cuts")
  public void groupsThatAreCutFromEachOtherShareTheLimit(int count, double limit, int groups) {
    Fleet fleet = new Fleet(count, limit);
    fleet.groups = groups;
    for (Vm vm : fleet.vms) {
      vm.know(fleet.others(vm.number), 0);
      vm.know(
          fleet.others(vm.number).stream().filter(it -> it % groups == vm.number % groups).toList(),
          1);
    }
    for (long now = 0; now < END_MILLIS; now += TICK_MILLIS) {
      fleet.play(now);
    }
    double rate = Math.max(limit, RequestAllowance.MIN_PER_SECOND);
    int groupSenders = Math.min(Math.ceilDiv(count, groups), 3 + (int) (1.5 * rate));
    double allowed = rate * WINDOW_MILLIS / 1_000 + Math.min(groups, count) * groupSenders;
    int most = fleet.mostInWindow();
    assertTrue(most <= allowed, most + " requests of " + groups + " groups, allowed " + allowed);
  }
}
