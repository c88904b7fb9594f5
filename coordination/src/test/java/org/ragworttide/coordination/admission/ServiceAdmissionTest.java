package org.ragworttide.coordination.admission;

import static org.ragworttide.coordination.admission.ServiceFixture.COLD_LIMIT;
import static org.ragworttide.coordination.admission.ServiceFixture.DAEMONS;
import static org.ragworttide.coordination.admission.ServiceFixture.LONGEST_RUN_MILLIS;
import static org.ragworttide.coordination.admission.ServiceFixture.MAX_IN_FLIGHT_UNPROVEN;
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

/** Tests that a cold service that publishes no load stays within its limits. */
public class ServiceAdmissionTest {
  private static final long UNREACHABLE_RUN_MILLIS =
      AdmissionSettings.DEFAULTS.warmMillis() + LONGEST_RUN_MILLIS;

  @Test
  public void unprovenServiceStaysWithinItsFirstLevelThroughPausesRestartsAndOwnerChanges() {
    Seeds.each(
        seed -> {
          ServiceFixture fixture = new ServiceFixture(seed);
          fixture.network.faults(0.1, 0.1, 300);
          fixture.answering = false;
          for (int change = 0; change < 8; change++) {
            int disturbed = fixture.random.nextInt(DAEMONS);
            disturb(fixture, disturbed);
            fixture.run(1_000 * (1 + fixture.random.nextInt(4)), fixture.random.nextInt(DAEMONS));
            fixture.clocks.get(disturbed).resume(() -> fixture.tryStart(disturbed, 3_000));
            fixture.letLeaseExpire();
          }
          assertTrue(fixture.highestInFlight > UNREPORTED.reserved(), "no permit was used");
          assertTrue(
              fixture.highestInFlight <= MAX_IN_FLIGHT_UNPROVEN,
              fixture.highestInFlight + " in flight");
        });
  }

  private static void disturb(ServiceFixture fixture, int daemon) {
    switch (fixture.random.nextInt(3)) {
      case 0 -> fixture.startDaemon(daemon);
      case 1 -> fixture.clocks.get(daemon).pause();
      default -> {
        // Only the owner changes.
      }
    }
  }

  @Test
  public void provenServiceIsWarmEverywhereAndStaysWarmUnderNextOwner() {
    Seeds.each(
        seed -> {
          ServiceFixture fixture = new ServiceFixture(seed);
          fixture.network.faults(0.02, 0.02, 5);
          fixture.run(20_000, 1);
          assertTrue(fixture.allWarm(), "not warm under the first owner");
          fixture.letLeaseExpire();
          fixture.startDaemon(3);
          fixture.run(70_000, 2);
          assertTrue(fixture.allWarm(), "not warm under the next owner");
        });
  }

  @Test
  public void restartedServiceStaysWithinItsFirstLevel() {
    Seeds.each(
        seed -> {
          ServiceFixture fixture = new ServiceFixture(seed);
          fixture.network.faults(0.1, 0.05, 30);
          fixture.run(20_000, 1);
          fixture.stopService();
          fixture.run(500 + fixture.random.nextInt(2_000), 1);
          fixture.startService();
          fixture.answering = false;
          fixture.run(4_000, 1);
          fixture.letLeaseExpire();
          fixture.run(4_000, 2);
          assertTrue(
              fixture.highestInFlight > 0 && fixture.highestInFlight <= MAX_IN_FLIGHT_UNPROVEN,
              fixture.highestInFlight + " in flight");
        });
  }

  @Test
  public void restartedServiceBecomesWarmAgain() {
    Seeds.each(
        seed -> {
          ServiceFixture fixture = new ServiceFixture(seed);
          fixture.network.faults(0.02, 0.02, 5);
          fixture.run(20_000, 1);
          fixture.stopService();
          fixture.run(1_000, 1);
          fixture.startService();
          fixture.run(20_000, 1);
          assertTrue(fixture.allWarm(), "not warm again");
        });
  }

  @Test
  public void slowServiceTurnsColdEverywhere() {
    Seeds.each(
        seed -> {
          ServiceFixture fixture = new ServiceFixture(seed);
          fixture.network.faults(0.02, 0, 5);
          fixture.run(20_000, 1);
          fixture.firstByteMillis = 2_000;
          fixture.run(8_000, 1);
          fixture.fleet.forEach(daemon -> assertFalse(daemon.view().isWarm(SERVICE)));
        });
  }

  @Test
  public void engineAnswersWithinHalfSecondAreNotSlow() {
    SlowAnswerDetector detector = new SlowAnswerDetector(2);
    UpstreamId engine = new UpstreamId("engine-1");
    for (int i = 0; i < 100; i++) {
      detector.isSlow(engine, false, 20);
    }
    assertFalse(detector.isSlow(engine, false, 400));
    assertTrue(detector.isSlow(engine, false, 600));
  }

  @Test
  public void serviceAnswersWithinHalfSecondAreNotSlow() {
    SlowAnswerDetector detector = new SlowAnswerDetector(2);
    for (int i = 0; i < 100; i++) {
      detector.isSlow(SERVICE, true, 3);
    }
    assertFalse(detector.isSlow(SERVICE, true, 400));
    assertTrue(detector.isSlow(SERVICE, true, 600));
  }

  @Test
  public void ownerIssuesNoPermitWhileUnreachableDaemonMayRunRequests() {
    ServiceFixture fixture = new ServiceFixture(1);
    fixture.answering = false;
    fixture.clocks.get(3).pause();
    fixture.run(UNREACHABLE_RUN_MILLIS - 1_000, 1);
    assertTrue(
        fixture.highestInFlight <= UNREPORTED.reserved(), fixture.highestInFlight + " before");
    fixture.run(10_000, 1);
    assertTrue(fixture.highestInFlight > UNREPORTED.reserved(), fixture.highestInFlight + " after");
  }

  @Test
  public void daemonCutOffFromOwnerTreatsServiceAsWarmForBoundedTime() {
    ServiceFixture fixture = new ServiceFixture(1);
    fixture.run(20_000, 1);
    for (int other = 0; other < 3; other++) {
      fixture.network.cut(vm(other), vm(3), true);
    }
    fixture.run(AdmissionSettings.DEFAULTS.warmMillis(), 1);
    assertFalse(fixture.fleet.get(3).view().isWarm(SERVICE));
    assertTrue(fixture.fleet.get(2).view().isWarm(SERVICE));
  }

  @Test
  public void lostFailureReportIsRepeatedBeforeDaemonTreatsServiceAsWarm() {
    ServiceFixture fixture = new ServiceFixture(1);
    fixture.run(20_000, 1);
    fixture.network.cut(vm(3), vm(1), true);
    fixture.fleet.get(3).tryEnter(SERVICE);
    fixture.fleet.get(3).recordFailure(SERVICE);
    fixture.fleet.get(3).leave(SERVICE);
    fixture.time.advance(100);
    assertTrue(fixture.fleet.get(2).view().isWarm(SERVICE));
    fixture.network.heal();
    fixture.answering = false;
    fixture.run(2_000, 1);
    assertFalse(fixture.fleet.get(2).view().isWarm(SERVICE));
  }

  @Test
  public void nextOwnerAcceptsWarmReportsOfPolledDaemons() {
    ServiceFixture fixture = new ServiceFixture(1);
    fixture.run(20_000, 1);
    fixture.answering = false;
    fixture.letLeaseExpire();
    fixture.startDaemon(3);
    fixture.run(3_000, 2);
    assertTrue(fixture.fleet.get(3).view().isWarm(SERVICE));
  }

  @Test
  public void ownerIgnoresUnsolicitedWarmReport() {
    ServiceFixture fixture = new ServiceFixture(1);
    fixture.answering = false;
    fixture.own(1, 10_000);
    fixture.fleet.get(1).receive(vm(3), new Warm(SERVICE, 0, 0, 0));
    fixture.run(1_000, 1);
    assertFalse(fixture.fleet.get(2).view().isWarm(SERVICE));
  }

  @Test
  public void sendingDaemonAsksOwnerAgainBeforeWarmStatusExpires() {
    ServiceFixture fixture = new ServiceFixture(1);
    fixture.run(20_000, 1);
    fixture.answering = false;
    for (int i = 0; i < 700; i++) {
      fixture.own(1, 3_000);
      fixture.tryStart(2, 50);
      fixture.time.advance(100);
      assertTrue(fixture.fleet.get(2).view().isWarm(SERVICE), "cold after step " + i);
    }
  }

  @Test
  public void answerOfEarlierOwnerAfterThePollIsIgnored() {
    PermitPool pool = new PermitPool();
    pool.setUnreported(UNREPORTED);
    pool.recordAsk(7, 0);
    pool.voidPendingAsk();
    assertFalse(pool.completeAsk(7));
    assertEquals(pool.recordAsk(8, 1_000), 7);
    assertTrue(pool.completeAsk(8));
  }

  @Test
  public void changedColdLimitAppliesUnderTheSameOwner() {
    ColdUpstream upstream = new ColdUpstream(COLD_LIMIT, 0, 1, AdmissionSettings.DEFAULTS, 0);
    upstream.recordOutcomes(4, 0);
    upstream.recordOutcomes(8, 0);
    upstream.setColdLimit(3);
    assertEquals(upstream.level(), 3);
  }

  @Test
  public void daemonListedDuringPollMustAnswerToo() {
    InFlightPoll poll = new InFlightPoll();
    poll.setListedVms(List.of(vm(0), vm(1)));
    poll.recordAnswer(vm(0));
    poll.setListedVms(List.of(vm(0), vm(1), vm(2)));
    poll.recordAnswer(vm(1));
    assertFalse(poll.isComplete());
    poll.setListedVms(List.of(vm(0), vm(1)));
    assertTrue(poll.isComplete());
  }
}
