package org.ragworttide.coordination.admission;

import static org.ragworttide.coordination.admission.AdmissionFixture.ENGINE;
import static org.ragworttide.coordination.admission.AdmissionFixture.vm;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.AdmissionMessage.Ask;
import org.ragworttide.coordination.message.AdmissionMessage.Grant;
import org.ragworttide.coordination.message.AdmissionMessage.TurnedCold;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.Test;

/** Tests the components of the admission separately. */
public class AdmissionPartsTest {
  private static final AdmissionSettings SETTINGS = AdmissionSettings.DEFAULTS;

  private static Ask ask(long number, long abandonedFrom, int permits) {
    return new Ask(ENGINE, 1, 77, number, abandonedFrom, permits);
  }

  @Test
  public void restartAndColdTurnResetTheLevel() {
    ColdUpstream upstream = new ColdUpstream(8, 1, 1, SETTINGS, 0);
    upstream.recordOutcomes(2, 0);
    upstream.restart(2, 10);
    assertEquals(upstream.level(), 2);
    upstream.recordOutcomes(2, 0);
    upstream.markCold(20);
    assertEquals(upstream.level(), 2);
  }

  @Test
  public void permitsOfLostGrantAreReusableAtTheNextRequest() {
    ColdUpstream upstream = new ColdUpstream(4, 1, 1, SETTINGS, 0);
    upstream.recordLoad(1, 0);
    assertEquals(upstream.issue(ask(1, 1, 1), 100, 2).count(), 1);
    assertEquals(upstream.issue(ask(2, 2, 1), 100, 3).count(), 0);
    assertEquals(upstream.issue(ask(3, 1, 1), 100, 4).count(), 1);
  }

  @Test
  public void expiredPermitStartsNoRequest() {
    PermitPool pool = new PermitPool();
    pool.recordAsk(1, 1_000);
    pool.addGrant(new Grant(ENGINE, 77, 1, 5, 2, 100), 0.01);
    assertTrue(pool.tryStart(1_050));
    assertFalse(pool.tryStart(1_099));
  }

  @Test
  public void newGrantDoesNotExtendOlderPermits() {
    PermitPool pool = new PermitPool();
    pool.recordAsk(1, 0);
    pool.addGrant(new Grant(ENGINE, 77, 1, 5, 1, 100), 0.01);
    pool.recordAsk(2, 1_000);
    assertEquals(pool.addGrant(new Grant(ENGINE, 77, 2, 9, 1, 100), 0.01), List.of(5L));
  }

  @Test
  public void emptyGrantsLengthenTheWaitBetweenPermitRequests() {
    PermitPool pool = new PermitPool();
    long now = 10_000;
    for (long waitMillis : new long[] {1_000, 2_000, 4_000, 8_000, 8_000}) {
      pool.recordAsk(now, now);
      pool.addGrant(new Grant(ENGINE, 77, now, 5, 0, 100), 0.01);
      pool.completeAsk(now);
      assertFalse(pool.canAsk(now + waitMillis - 1, 500), "waitMillis " + waitMillis);
      assertTrue(pool.canAsk(now + waitMillis, 500), "waitMillis " + waitMillis);
      now += waitMillis;
    }
    pool.recordAsk(now, now);
    pool.addGrant(new Grant(ENGINE, 77, now, 5, 1, 100), 0.01);
    pool.completeAsk(now);
    assertTrue(pool.canAsk(now, 500));
  }

  @Test
  public void ownerPausedBeyondItsLeaseDiscardsItsState() {
    ManualTimerService time = new ManualTimerService();
    List<AdmissionMessage> sent = new ArrayList<>();
    Transport transport = (to, message) -> sent.add((AdmissionMessage) message);
    long[] ownedUntilMillis = {1_000};
    FanOut fanOut = new FanOut(vm(0), transport, notice -> {});
    PermitOwner owner =
        new PermitOwner(
            time,
            new SingleOwner(ownedUntilMillis),
            transport,
            fanOut,
            SETTINGS,
            new SplittableRandom(1));
    owner.setColdLimits(Map.of(ENGINE, 8));
    owner.receive(vm(1), new Ask(ENGINE, 0, 77, 1, 1, 1));
    time.advance(500);
    owner.report(ENGINE, 0, 400, 0);
    owner.receive(vm(1), new Ask(ENGINE, 0, 77, 2, 2, 1));
    time.advance(9_500);
    ownedUntilMillis[0] = 20_000;
    owner.receive(vm(1), new Ask(ENGINE, 0, 77, 3, 3, 1));
    List<Integer> permits = sent.stream().map(message -> ((Grant) message).permits()).toList();
    assertEquals(permits, List.of(0, 1, 0));
  }

  @Test
  public void coldTurnReachesEveryDaemonWithFewMessagesFromEach() {
    int daemons = 350;
    Map<VmId, FanOut> fleet = new HashMap<>();
    Map<VmId, Integer> sent = new HashMap<>();
    Set<VmId> reached = new HashSet<>();
    List<VmId> members = new ArrayList<>();
    for (int i = 0; i < daemons; i++) {
      VmId self = vm(i);
      members.add(self);
      Transport transport =
          (to, message) -> {
            sent.merge(self, 1, Integer::sum);
            fleet.get(to).receive((TurnedCold) message);
          };
      fleet.put(self, new FanOut(self, transport, notice -> reached.add(self)));
    }
    fleet.values().forEach(fanOut -> fanOut.setMembers(members));
    fleet.get(vm(114)).broadcast(new TurnedCold(ENGINE, 1, 5, true));
    assertEquals(reached.size(), daemons);
    sent.values().forEach(count -> assertTrue(count <= 2 * Math.sqrt(daemons), "sent " + count));
  }

  private record SingleOwner(long[] ownedUntilMillis) implements OwnerView {
    @Override
    public Optional<VmId> ownerOf(String resource) {
      return Optional.of(vm(0));
    }

    @Override
    public OptionalLong ownedUntilMillis(String resource) {
      return OptionalLong.of(ownedUntilMillis[0]);
    }
  }
}
