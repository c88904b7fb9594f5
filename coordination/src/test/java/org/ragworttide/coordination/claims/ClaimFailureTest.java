package org.ragworttide.coordination.claims;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.net.FailureInjector;
import org.ragworttide.coordination.net.Seeds;
import org.testng.annotations.Test;

/** Tests at every decision under failures that a key runs at most once within its retention. */
public class ClaimFailureTest {
  private static final String[] SEVEN_VMS = {"a", "b", "c", "d", "e", "f", "g"};

  @Test
  public void keysRunOnceUnderRandomFailures() {
    Seeds.each(
        seed -> {
          ClaimFleet claims = ClaimFleet.started(seed, SEVEN_VMS);
          claims.fleet().network().faults(0.1, 0.1, 40);
          FailureInjector chaos = new FailureInjector(claims.fleet());
          for (int round = 0; round < 80; round++) {
            chaos.injectFailure();
            for (int i = 0; i < 3; i++) {
              arrive(claims, "key-" + (round / 20) + "-" + claims.fleet().random().nextInt(4));
            }
            claims.run(claims.fleet().random().nextInt(150));
          }
          chaos.endFailures();
          claims.run(2 * ClaimFleet.RETENTION_MILLIS);
          String vm = claims.fleet().vms().getFirst().value();
          assertEquals(claims.decide(vm, "fresh"), new ClaimDecision.Granted());
        });
  }

  private static void arrive(ClaimFleet claims, String key) {
    SplittableRandom random = claims.fleet().random();
    List<VmId> vms = claims.fleet().vms();
    String vm = vms.get(random.nextInt(vms.size())).value();
    if (claims.fleet().timers(new VmId(vm)).isPaused()) {
      return;
    }
    List<ClaimDecision> decisions = claims.claim(vm, key);
    claims.run(random.nextInt(60));
    boolean isListed = claims.fleet().vms().contains(new VmId(vm));
    if (isListed && decisions.equals(List.of(new ClaimDecision.Granted()))) {
      switch (random.nextInt(3)) {
        case 0 -> claims.complete(vm, key);
        case 1 -> claims.releaseNotRun(vm, key);
        default -> claims.run(1);
      }
    }
  }

  @Test
  public void simultaneousArrivalsAtAllDaemonsRunOnce() {
    Seeds.each(
        seed -> {
          ClaimFleet claims = ClaimFleet.started(seed, SEVEN_VMS);
          claims.fleet().network().faults(0.05, 0.05, 30);
          for (int round = 0; round < 10; round++) {
            List<List<ClaimDecision>> decisions = new ArrayList<>();
            for (String vm : SEVEN_VMS) {
              decisions.add(claims.claim(vm, "key-" + round));
            }
            claims.run(1_500);
            decisions.forEach(received -> assertEquals(received.size(), 1));
          }
        });
  }

  @Test
  public void keysRunOnceWhileTheListChangesDuringClaims() {
    Seeds.each(
        seed -> {
          ClaimFleet claims = ClaimFleet.started(seed, SEVEN_VMS);
          claims.fleet().network().faults(0, 0.1, 60);
          claims.fleet().publish("a", "b", "c", "d", "e", "h", "i");
          claims.fleet().publish("a", "b", "c", "h", "i", "j", "k");
          for (int step = 0; step < 24; step++) {
            arrive(claims, "key-" + claims.fleet().random().nextInt(6));
            VmId vm = claims.fleet().vms().get(claims.fleet().random().nextInt(7));
            long next = Math.min(3, claims.fleet().version(vm) + 1);
            claims.fleet().adopt(vm, next);
          }
        });
  }

  @Test
  public void slowClaimantDoesNotCombineVotesFromBeforeAndAfterVoterRestart() {
    ClaimFleet claims = ClaimFleet.started(1, "a", "b", "c", "d", "e");
    setCutFromA(claims, true, "c", "d", "e");
    claims.claim("a", "key");
    claims.run(10);
    claims.fleet().restart(new VmId("b"), 1);
    claims.run(140);
    setCutFromA(claims, false, "c");
    claims.run(100);
    claims.claim("e", "key");
    claims.run(1_500);
  }

  private static void setCutFromA(ClaimFleet claims, boolean cut, String... vms) {
    for (String vm : vms) {
      claims.fleet().network().cut(new VmId("a"), new VmId(vm), cut);
      claims.fleet().network().cut(new VmId(vm), new VmId("a"), cut);
    }
  }

  @Test
  public void keyRunsOnceWhenTheGroupShrinks() {
    Seeds.each(
        seed -> {
          ClaimFleet claims = ClaimFleet.started(seed, "a", "b", "c", "d", "e");
          setCutFromA(claims, true, "b");
          claims.claim("a", "key");
          claims.run(100);
          claims.fleet().publish("a", "b", "c", "d");
          claims.fleet().publish("b", "c", "d");
          claims.fleet().adoptAll();
          claims.decide("b", "key");
          claims.decide("c", "key");
        });
  }

  @Test
  public void pausedClaimantIsNotGrantedTheKeyAfterResuming() {
    Seeds.each(
        seed -> {
          ClaimFleet claims = ClaimFleet.started(seed, SEVEN_VMS);
          claims.claim("a", "key");
          claims.run(claims.fleet().random().nextInt(8));
          claims.fleet().timers(new VmId("a")).pause();
          claims.decide("b", "key");
          claims.run(claims.fleet().random().nextInt(1_000));
          claims.fleet().timers(new VmId("a")).resume();
          claims.run(1_500);
        });
  }
}
