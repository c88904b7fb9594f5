package org.ragworttide.coordination.admission;

import static org.ragworttide.coordination.admission.ServiceFixture.COLD_LIMIT;
import static org.ragworttide.coordination.admission.ServiceFixture.DAEMONS;
import static org.ragworttide.coordination.admission.ServiceFixture.FIRST_BOUND;
import static org.ragworttide.coordination.admission.ServiceFixture.LONGEST_RUN_MILLIS;
import static org.ragworttide.coordination.admission.ServiceFixture.SERVICE;
import static org.ragworttide.coordination.admission.ServiceFixture.UNREPORTED;
import static org.ragworttide.coordination.admission.ServiceFixture.vm;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.message.AdmissionMessage.Warm;
import org.ragworttide.coordination.net.Seeds;
import org.testng.annotations.Test;

/** Tests that a cold service gets no more than it bears, though it publishes no load. */
public class ServiceAdmissionTest {
  private static final long UNREACHED_MILLIS =
      AdmissionSettings.DEFAULTS.warmMillis() + LONGEST_RUN_MILLIS;

  @Test
  public void unknownServiceStaysWithinItsFirstLevelThroughPausesRestartsAndOwnerChanges() {
    Seeds.each(
        seed -> {
          ServiceFixture f = new ServiceFixture(seed);
          f.network.faults(0.1, 0.1, 300);
          f.answering = false;
          for (int change = 0; change < 8; change++) {
            int disturbed = f.random.nextInt(DAEMONS);
            disturb(f, disturbed);
            f.run(1_000 * (1 + f.random.nextInt(4)), f.random.nextInt(DAEMONS));
            f.clocks.get(disturbed).resume(() -> f.tryStart(disturbed, 3_000));
            f.letLeaseEnd();
          }
          assertTrue(f.highest > UNREPORTED.reserved(), "no permit was used");
          assertTrue(f.highest <= FIRST_BOUND, f.highest + " in flight");
        });
  }

  private static void disturb(ServiceFixture f, int daemon) {
    switch (f.random.nextInt(3)) {
      case 0 -> f.startDaemon(daemon);
      case 1 -> f.clocks.get(daemon).pause();
      default -> {
        // Nothing but the owner changes.
      }
    }
  }

  @Test
  public void provedServiceIsWarmEverywhereAndStaysSoUnderNextOwner() {
    Seeds.each(
        seed -> {
          ServiceFixture f = new ServiceFixture(seed);
          f.network.faults(0.02, 0.02, 5);
          f.run(20_000, 1);
          assertTrue(f.allWarm(), "not warm under the first owner");
          f.letLeaseEnd();
          f.startDaemon(3);
          f.run(70_000, 2);
          assertTrue(f.allWarm(), "not warm under the next owner");
        });
  }

  @Test
  public void restartedServiceStaysWithinItsFirstLevel() {
    Seeds.each(
        seed -> {
          ServiceFixture f = new ServiceFixture(seed);
          f.network.faults(0.1, 0.05, 30);
          f.run(20_000, 1);
          f.stopService();
          f.run(500 + f.random.nextInt(2_000), 1);
          f.startService();
          f.answering = false;
          f.run(4_000, 1);
          f.letLeaseEnd();
          f.run(4_000, 2);
          assertTrue(f.highest > 0 && f.highest <= FIRST_BOUND, f.highest + " in flight");
        });
  }

  @Test
  public void restartedServiceIsProvedWarmAgain() {
    Seeds.each(
        seed -> {
          ServiceFixture f = new ServiceFixture(seed);
          f.network.faults(0.02, 0.02, 5);
          f.run(20_000, 1);
          f.stopService();
          f.run(1_000, 1);
          f.startService();
          f.run(20_000, 1);
          assertTrue(f.allWarm(), "not warm again");
        });
  }

  @Test
  public void slowServiceTurnsColdEverywhere() {
    Seeds.each(
        seed -> {
          ServiceFixture f = new ServiceFixture(seed);
          f.network.faults(0.02, 0, 5);
          f.run(20_000, 1);
          f.firstByteMillis = 2_000;
          f.run(8_000, 1);
          f.fleet.forEach(daemon -> assertFalse(daemon.view().isWarm(SERVICE)));
        });
  }

  @Test
  public void answersOfEnginesWithinHalfSecondAreNotSlow() {
    SlowAnswers answers = new SlowAnswers(2);
    UpstreamId engine = new UpstreamId("engine-1");
    for (int i = 0; i < 100; i++) {
      answers.isSlow(engine, false, 20);
    }
    assertFalse(answers.isSlow(engine, false, 400));
    assertTrue(answers.isSlow(engine, false, 600));
  }

  @Test
  public void answersWithinHalfSecondAreNotSlow() {
    SlowAnswers answers = new SlowAnswers(2);
    for (int i = 0; i < 100; i++) {
      answers.isSlow(SERVICE, true, 3);
    }
    assertFalse(answers.isSlow(SERVICE, true, 400));
    assertTrue(answers.isSlow(SERVICE, true, 600));
  }

  @Test
  public void ownerGivesNothingBeforeSilentDaemonCannotRunAnythingAnyMore() {
    ServiceFixture f = new ServiceFixture(1);
    f.answering = false;
    f.clocks.get(3).pause();
    f.run(UNREACHED_MILLIS - 1_000, 1);
    assertTrue(f.highest <= UNREPORTED.reserved(), f.highest + " before");
    f.run(10_000, 1);
    assertTrue(f.highest > UNREPORTED.reserved(), f.highest + " after");
  }

  @Test
  public void daemonCutOffFromItsOwnerTakesServiceForWarmForBoundedTime() {
    ServiceFixture f = new ServiceFixture(1);
    f.run(20_000, 1);
    for (int other = 0; other < 3; other++) {
      f.network.cut(vm(other), vm(3), true);
    }
    f.run(AdmissionSettings.DEFAULTS.warmMillis(), 1);
    assertFalse(f.fleet.get(3).view().isWarm(SERVICE));
    assertTrue(f.fleet.get(2).view().isWarm(SERVICE));
  }

  @Test
  public void lostNoticeOfFailureIsRepeatedBeforeDaemonBelievesInWarmth() {
    ServiceFixture f = new ServiceFixture(1);
    f.run(20_000, 1);
    f.network.cut(vm(3), vm(1), true);
    f.fleet.get(3).tryEnter(SERVICE);
    f.fleet.get(3).failed(SERVICE);
    f.fleet.get(3).leave(SERVICE);
    f.time.advance(100);
    assertTrue(f.fleet.get(2).view().isWarm(SERVICE));
    f.network.heal();
    f.answering = false;
    f.run(2_000, 1);
    assertFalse(f.fleet.get(2).view().isWarm(SERVICE));
  }

  @Test
  public void nextOwnerBelievesPeersThatKnowServiceAsWarm() {
    ServiceFixture f = new ServiceFixture(1);
    f.run(20_000, 1);
    f.answering = false;
    f.letLeaseEnd();
    f.startDaemon(3);
    f.run(3_000, 2);
    assertTrue(f.fleet.get(3).view().isWarm(SERVICE));
  }

  @Test
  public void ownerDoesNotBelieveWordThatItDidNotAskForUnderItsLease() {
    ServiceFixture f = new ServiceFixture(1);
    f.answering = false;
    f.own(1, 10_000);
    f.fleet.get(1).receive(vm(3), new Warm(SERVICE, 0, 0, 0));
    f.run(1_000, 1);
    assertFalse(f.fleet.get(2).view().isWarm(SERVICE));
  }

  @Test
  public void daemonThatSendsAsksAgainBeforeItsWordForWarmRunsOut() {
    ServiceFixture f = new ServiceFixture(1);
    f.run(20_000, 1);
    f.answering = false;
    for (int i = 0; i < 700; i++) {
      f.own(1, 3_000);
      f.tryStart(2, 50);
      f.time.advance(100);
      assertTrue(f.fleet.get(2).view().isWarm(SERVICE), "cold after step " + i);
    }
  }

  @Test
  public void wordOfEarlierOwnerThatComesAfterTheCensusStartsNothing() {
    PermitPool pool = new PermitPool();
    pool.unreported(UNREPORTED);
    pool.asked(7, 0);
    pool.voidQuestion();
    assertFalse(pool.closeQuestion(7));
    assertEquals(pool.asked(8, 1_000), 7);
    assertTrue(pool.closeQuestion(8));
  }

  @Test
  public void changedColdLimitHoldsUnderTheSameOwner() {
    ColdUpstream upstream = new ColdUpstream(COLD_LIMIT, 0, 1, AdmissionSettings.DEFAULTS, 0);
    upstream.feedback(4, 0);
    upstream.feedback(8, 0);
    upstream.coldLimit(3);
    assertEquals(upstream.level(), 3);
  }

  @Test
  public void daemonListedDuringCensusCountsToo() {
    Census census = new Census();
    census.listed(List.of(vm(0), vm(1)));
    census.answered(vm(0));
    census.listed(List.of(vm(0), vm(1), vm(2)));
    census.answered(vm(1));
    assertFalse(census.isComplete());
    census.listed(List.of(vm(0), vm(1)));
    assertTrue(census.isComplete());
  }
}
