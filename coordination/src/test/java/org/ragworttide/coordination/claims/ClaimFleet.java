package org.ragworttide.coordination.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.fail;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.group.GroupSize;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.net.NodeTimers;

/**
 * Fleet of claim managers that records granted requests and checks that decisions are correct.
 *
 * <p>Invariant: a second run of a key within its retention fails the test. Not safe for use by
 * several threads.
 */
final class ClaimFleet implements Fleet.Factory<ClaimManager> {
  static final long RETENTION_MILLIS = 3_000;
  static final ClaimSettings SETTINGS =
      new ClaimSettings(GroupSize.FIVE, 300, RETENTION_MILLIS, 50, 10_000, 1_000, 100_000);
  private static final long STEP_MILLIS = 10;
  private static final double SLOWEST_CLOCK = 0.98;

  private final Fleet<ClaimManager> fleet;
  private final ClaimSettings settings;
  private final Map<RequestKey, Long> grantedAtMillis = new HashMap<>();
  private final Map<RequestKey, ClaimAnswer> answers = new HashMap<>();
  private long nowMillis;

  ClaimFleet(long seed, ClaimSettings settings, String... vms) {
    this.settings = settings;
    this.fleet = new Fleet<>(seed, this);
    fleet.publish(vms);
  }

  /** Creates a fleet whose voters are informed. */
  static ClaimFleet started(long seed, String... vms) {
    ClaimFleet claims = new ClaimFleet(seed, SETTINGS, vms);
    claims.run(RETENTION_MILLIS + 2_000);
    return claims;
  }

  Fleet<ClaimManager> fleet() {
    return fleet;
  }

  void run(long millis) {
    fleet.run(millis, STEP_MILLIS, any -> nowMillis += STEP_MILLIS);
  }

  /** Claims a key at a VM; returns the list that will hold the decision. */
  List<ClaimDecision> claim(String vm, String key) {
    return claim(vm, key, 0);
  }

  /** Claims a key and follows a run on another VM; returns the list that will hold the decision. */
  List<ClaimDecision> claim(String vm, String key, long followMillis) {
    List<ClaimDecision> decisions = new ArrayList<>();
    RequestKey requestKey = new RequestKey(key);
    fleet
        .stateMachine(new VmId(vm))
        .claim(
            requestKey,
            followMillis,
            decision -> {
              check(requestKey, decision);
              decisions.add(decision);
              assertEquals(decisions.size(), 1, "decisions for one arrival");
            });
    return decisions;
  }

  /** Claims a key at a VM, runs the fleet until the decision and returns it. */
  ClaimDecision decide(String vm, String key) {
    List<ClaimDecision> decisions = claim(vm, key);
    for (int step = 0; step < 1_000 && decisions.isEmpty(); step++) {
      run(STEP_MILLIS);
    }
    return decisions.getFirst();
  }

  private void check(RequestKey key, ClaimDecision decision) {
    switch (decision) {
      case ClaimDecision.Granted granted -> {
        if (isProtected(key)) {
          fail("two runs of " + key);
        }
        grantedAtMillis.put(key, nowMillis);
      }
      case ClaimDecision.Completed(ClaimAnswer answer) -> assertEquals(answer, answers.get(key));
      case ClaimDecision.NotRun notRun -> assertEquals(isProtected(key), false, "ran " + key);
      case ClaimDecision.Running running -> {}
      case ClaimDecision.MayHaveRun mayHaveRun -> {}
    }
  }

  private boolean isProtected(RequestKey key) {
    Long since = grantedAtMillis.get(key);
    double retention = (settings.retentionMillis()) * SLOWEST_CLOCK - settings.voteWindowMillis();
    return since != null && nowMillis - since < retention;
  }

  void complete(String vm, String key) {
    RequestKey requestKey = new RequestKey(key);
    ClaimAnswer answer = new ClaimAnswer((vm + key).getBytes(StandardCharsets.UTF_8));
    answers.put(requestKey, answer);
    fleet.stateMachine(new VmId(vm)).recordCompleted(requestKey, answer);
  }

  void releaseNotRun(String vm, String key) {
    grantedAtMillis.remove(new RequestKey(key));
    fleet.stateMachine(new VmId(vm)).releaseNotRun(new RequestKey(key));
  }

  @Override
  public ClaimManager create(
      VmId vm, Incarnation incarnation, NodeTimers timers, Transport transport) {
    return new ClaimManager(vm, incarnation, timers, transport, settings);
  }

  @Override
  public void adopt(ClaimManager manager, VmList list) {
    manager.adopt(list);
  }

  @Override
  public void deliver(ClaimManager manager, VmId from, PeerMessage message) {
    switch (message) {
      case ClaimMessage claim -> manager.onMessage(from, claim);
      case GroupMessage group -> manager.onGroupMessage(from, group);
      default -> throw new IllegalStateException("unexpected " + message);
    }
  }
}
