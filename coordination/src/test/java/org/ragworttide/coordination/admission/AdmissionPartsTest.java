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

/** Tests the parts of admission one by one. */
public class AdmissionPartsTest {
  private static final AdmissionSettings SETTINGS = AdmissionSettings.DEFAULTS;

  private static Ask ask(long number, long abandonedFrom, int permits) {
    return new Ask(ENGINE, 1, 77, number, abandonedFrom, permits);
  }

  @Test
  public void restartAndColdTurnBringTheLevelBackDown() {
    ColdUpstream upstream = new ColdUpstream(8, 1, 1, SETTINGS, 0);
    upstream.feedback(2, 0);
    upstream.restart(2, 10);
    assertEquals(upstream.level(), 2);
    upstream.feedback(2, 0);
    upstream.turnCold(20);
    assertEquals(upstream.level(), 2);
  }

  @Test
  public void permitsOfLostAnswerAreFreeAtTheNextQuestion() {
    ColdUpstream upstream = new ColdUpstream(4, 1, 1, SETTINGS, 0);
    upstream.report(1, 0);
    assertEquals(upstream.take(ask(1, 1, 1), 100, 2).count(), 1);
    assertEquals(upstream.take(ask(2, 2, 1), 100, 3).count(), 0);
    assertEquals(upstream.take(ask(3, 1, 1), 100, 4).count(), 1);
  }

  @Test
  public void expiredPermitStartsNothingAfterPause() {
    PermitPool pool = new PermitPool();
    pool.asked(1, 1_000);
    pool.grant(new Grant(ENGINE, 77, 1, 5, 2, 100), 0.01);
    assertTrue(pool.tryStart(1_050));
    assertFalse(pool.tryStart(1_099));
  }

  @Test
  public void olderPermitsDoNotGetTheNewOnesTime() {
    PermitPool pool = new PermitPool();
    pool.asked(1, 0);
    pool.grant(new Grant(ENGINE, 77, 1, 5, 1, 100), 0.01);
    pool.asked(2, 1_000);
    assertEquals(pool.grant(new Grant(ENGINE, 77, 2, 9, 1, 100), 0.01), List.of(5L));
  }

  @Test
  public void emptyAnswersMakeQuestionsRarer() {
    PermitPool pool = new PermitPool();
    long now = 10_000;
    for (long pause : new long[] {1_000, 2_000, 4_000, 8_000, 8_000}) {
      pool.asked(now, now);
      pool.grant(new Grant(ENGINE, 77, now, 5, 0, 100), 0.01);
      pool.closeQuestion(now);
      assertFalse(pool.mayAsk(now + pause - 1, 500), "pause " + pause);
      assertTrue(pool.mayAsk(now + pause, 500), "pause " + pause);
      now += pause;
    }
    pool.asked(now, now);
    pool.grant(new Grant(ENGINE, 77, now, 5, 1, 100), 0.01);
    pool.closeQuestion(now);
    assertTrue(pool.mayAsk(now, 500));
  }

  @Test
  public void ownerThatSleptThroughItsLeaseBeginsAgain() {
    ManualTimerService time = new ManualTimerService();
    List<AdmissionMessage> sent = new ArrayList<>();
    Transport transport = (to, message) -> sent.add((AdmissionMessage) message);
    long[] until = {1_000};
    FanOut fanOut = new FanOut(vm(0), transport, event -> {});
    PermitOwner owner =
        new PermitOwner(
            time, new Leased(until), transport, fanOut, SETTINGS, new SplittableRandom(1));
    owner.coldLimits(Map.of(ENGINE, 8));
    owner.receive(vm(1), new Ask(ENGINE, 0, 77, 1, 1, 1));
    time.advance(500);
    owner.report(ENGINE, 0, 400, 0);
    owner.receive(vm(1), new Ask(ENGINE, 0, 77, 2, 2, 1));
    time.advance(9_500);
    until[0] = 20_000;
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
      fleet.put(self, new FanOut(self, transport, event -> reached.add(self)));
    }
    fleet.values().forEach(fanOut -> fanOut.members(members));
    fleet.get(vm(114)).start(new TurnedCold(ENGINE, 1, 5, true));
    assertEquals(reached.size(), daemons);
    sent.values().forEach(count -> assertTrue(count <= 2 * Math.sqrt(daemons), "sent " + count));
  }

  private record Leased(long[] until) implements OwnerView {
    @Override
    public Optional<VmId> ownerOf(String resource) {
      return Optional.of(vm(0));
    }

    @Override
    public OptionalLong ownedUntilMillis(String resource) {
      return OptionalLong.of(until[0]);
    }
  }
}
