package org.ragworttide.coordination.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.ragworttide.coordination.group.IgnoredMessages.Reason;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LeaseMessage.Release;
import org.ragworttide.coordination.message.LeaseMessage.VoteAnswer;
import org.ragworttide.coordination.message.LeaseMessage.VoteRequest;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that messages which no correct peer would send are counted and ignored. */
public class LeaseBadInputTest {
  private final List<PeerMessage> sent = new ArrayList<>();
  private ManualTimerService timers;
  private LeaseManager manager;

  @BeforeMethod
  void start() {
    sent.clear();
    timers = new ManualTimerService();
    manager =
        new LeaseManager(
            new VmId("a"),
            new Incarnation(9),
            timers,
            (to, message) -> sent.add(message),
            LeaseFleet.SETTINGS);
    manager.adopt(Fleet.list(5, List.of("a", "b", "c", "d", "e")));
  }

  private VoteRequest firstVoteRequest() {
    timers.advance(LeaseFleet.SETTINGS.tickMillis());
    return sent.stream()
        .filter(VoteRequest.class::isInstance)
        .map(VoteRequest.class::cast)
        .findFirst()
        .orElseThrow();
  }

  private void grant(String from, long version, long attempt, List<Integer> shards) {
    manager.onMessage(new VmId(from), new VoteAnswer(version, attempt, shards));
  }

  @Test
  public void quorumOfVotesGrantsTheLeaseForOneLeaseTimeFromTheRequest() {
    VoteRequest request = firstVoteRequest();
    timers.advance(50);
    for (String vm : List.of("b", "c", "d")) {
      grant(vm, 5, request.attempt(), request.shards());
    }
    Shard shard = new Shard(request.shards().getFirst());
    assertTrue(manager.isOwner(shard));
    assertEquals(
        manager.leaseExpiresAtMillis(shard) - timers.nowMillis(),
        LeaseFleet.SETTINGS.leaseMillis() - 50);
  }

  @Test
  public void votesOfUnknownSendersOtherVersionsAndOldAttemptsGrantNoLease() {
    VoteRequest request = firstVoteRequest();
    long attempt = request.attempt();
    grant("b", 5, attempt, request.shards());
    grant("b", 5, attempt, request.shards());
    grant("x", 5, attempt, request.shards());
    grant("c", 6, attempt, request.shards());
    grant("d", 5, attempt - 1, request.shards());
    grant("e", 5, attempt, List.of(-1, 512));
    assertTrue(manager.owned().isEmpty());
    assertEquals(manager.ignored().countOf(Reason.UNKNOWN_SENDER), 1);
    assertEquals(manager.ignored().countOf(Reason.OTHER_VERSION), 1);
    assertEquals(manager.ignored().countOf(Reason.STALE_ATTEMPT), 1);
    assertEquals(manager.ignored().countOf(Reason.MALFORMED), 1);
  }

  @Test
  public void votesForShardsThatWereNotRequestedAreNotCounted() {
    VoteRequest request = firstVoteRequest();
    int other = 0;
    while (request.shards().contains(other)) {
      other++;
    }
    for (String vm : List.of("b", "c", "d")) {
      grant(vm, 5, request.attempt(), List.of(other));
    }
    assertTrue(manager.owned().isEmpty());
  }

  @Test
  public void requestsWithInvalidShardsAreCountedAsMalformed() {
    VmId peer = new VmId("b");
    manager.onMessage(peer, new VoteRequest(5, 1, new Incarnation(2), List.of(-1, 600)));
    manager.onMessage(peer, new Release(1, new Incarnation(2), List.of(-1)));
    assertEquals(manager.ignored().countOf(Reason.MALFORMED), 3);
  }
}
