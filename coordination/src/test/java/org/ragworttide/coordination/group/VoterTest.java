package org.ragworttide.coordination.group;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.ragworttide.coordination.group.IgnoredMessages.Reason;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.GroupMessage.AdoptedAnswer;
import org.ragworttide.coordination.message.GroupMessage.AdoptedRequest;
import org.ragworttide.coordination.message.GroupMessage.KnownVote;
import org.ragworttide.coordination.message.GroupMessage.LearnAnswer;
import org.ragworttide.coordination.message.GroupMessage.LearnRequest;
import org.ragworttide.coordination.message.GroupMessage.ShardVotes;
import org.ragworttide.coordination.message.GroupMessage.Topic;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests each rule of the voter separately; the formal model has a broken variant for each rule. */
public class VoterTest {
  private static final VoterSettings SETTINGS =
      new VoterSettings(Topic.CLAIM, GroupSize.FIVE, 1_000, 10_000, 100, 100);
  private static final Shard SHARD = new Shard(0);
  private static final Incarnation RUN = new Incarnation(77);

  private ManualTimerService timers;
  private List<Sent> sent;
  private IgnoredMessages ignored;
  private Voter voter;

  @BeforeMethod
  void start() {
    timers = new ManualTimerService();
    sent = new ArrayList<>();
    ignored = new IgnoredMessages();
    voter =
        new Voter(
            new VmId("a"),
            new AttemptNumbers(new Incarnation(5)),
            timers,
            (to, message) -> sent.add(new Sent(to, message)),
            SETTINGS,
            ignored);
    adopt(1, "a", "b", "c", "d", "e");
  }

  private record Sent(VmId to, PeerMessage message) {}

  private void adopt(long version, String... vms) {
    voter.adopt(Fleet.list(version, List.of(vms)));
  }

  private void tickFor(long millis) {
    for (long passed = 0; passed < millis; passed += 100) {
      timers.advance(100);
      voter.tick();
    }
  }

  private void beginToLearn() {
    tickFor(SETTINGS.quietMillis() + 200);
  }

  private long learnAttempt() {
    return sent.reversed().stream()
        .map(Sent::message)
        .filter(LearnRequest.class::isInstance)
        .map(message -> ((LearnRequest) message).attempt())
        .findFirst()
        .orElseThrow();
  }

  private void answer(String from, long version, long attempt, KnownVote... votes) {
    ShardVotes shard = new ShardVotes(SHARD.number(), 0, 1, List.of(votes));
    voter.onMessage(new VmId(from), new LearnAnswer(Topic.CLAIM, version, attempt, List.of(shard)));
  }

  private void learnFrom(String... vms) {
    for (String vm : vms) {
      answer(vm, 1, learnAttempt());
    }
  }

  private VoteResult vote(String holder, String key, long version) {
    return voter.vote(new Ballot(SHARD, key, new VmId(holder), RUN, version, 1));
  }

  @Test
  public void startedVoterSendsAndGrantsNothingInTheQuietPeriod() {
    tickFor(SETTINGS.windowMillis());
    assertTrue(sent.isEmpty(), "asked within the quiet period");
    assertEquals(vote("b", "key", 1), new VoteResult.NotInformed());
  }

  @Test
  public void voterIsInformedAfterAnswersOfQuorumOfOtherMembers() {
    beginToLearn();
    learnFrom("b", "c");
    assertFalse(voter.isInformed(SHARD));
    learnFrom("d");
    assertTrue(voter.isInformed(SHARD));
    assertEquals(vote("b", "key", 1), new VoteResult.Granted());
  }

  @Test
  public void repeatedAnswersOfOneMemberCountOnce() {
    beginToLearn();
    learnFrom("b", "b", "b");
    assertFalse(voter.isInformed(SHARD));
  }

  @Test
  public void shardIsLearnedWhenAllPartsHaveArrived() {
    beginToLearn();
    learnFrom("b", "c");
    ShardVotes first = new ShardVotes(SHARD.number(), 0, 2, List.of());
    ShardVotes second = new ShardVotes(SHARD.number(), 1, 2, List.of());
    VmId peer = new VmId("d");
    voter.onMessage(peer, new LearnAnswer(Topic.CLAIM, 1, learnAttempt(), List.of(second)));
    assertFalse(voter.isInformed(SHARD));
    voter.onMessage(peer, new LearnAnswer(Topic.CLAIM, 1, learnAttempt(), List.of(first)));
    assertTrue(voter.isInformed(SHARD));
  }

  @Test
  public void answersAfterTheWindowAreNotCounted() {
    beginToLearn();
    learnFrom("b", "c");
    long attempt = learnAttempt();
    timers.advance(SETTINGS.windowMillis());
    answer("d", 1, attempt);
    assertFalse(voter.isInformed(SHARD));
    assertEquals(ignored.countOf(Reason.STALE_ATTEMPT), 1);
  }

  @Test
  public void answersUnderAnotherListAreNotCounted() {
    beginToLearn();
    learnFrom("b", "c");
    answer("d", 2, learnAttempt());
    answer("x", 1, learnAttempt());
    assertFalse(voter.isInformed(SHARD));
  }

  @Test
  public void voterDoesNotContradictLearnedVote() {
    beginToLearn();
    answer("b", 1, learnAttempt(), new KnownVote("key", new VmId("c"), RUN, false, 5_000));
    learnFrom("c", "d");
    assertEquals(vote("e", "key", 1), new VoteResult.Held(new VmId("c"), RUN));
    assertEquals(vote("c", "key", 1), new VoteResult.Granted());
  }

  @Test
  public void votesForSeveralHoldersAreContested() {
    beginToLearn();
    answer("b", 1, learnAttempt(), new KnownVote("key", new VmId("c"), RUN, false, 5_000));
    answer("c", 1, learnAttempt(), new KnownVote("key", new VmId("d"), RUN, false, 5_000));
    learnFrom("d");
    assertEquals(vote("c", "key", 1), new VoteResult.Contested());
  }

  @Test
  public void memberOfBothGroupsStaysInformedUnderTheNextList() {
    beginToLearn();
    learnFrom("b", "c", "d");
    adopt(2, "a", "b", "c", "d", "f");
    assertTrue(voter.isInformed(SHARD));
    assertEquals(vote("b", "key", 1), new VoteResult.NotInformed());
    assertEquals(vote("b", "key", 2), new VoteResult.Granted());
  }

  @Test
  public void voterIsNoLongerInformedAfterSkippedListVersion() {
    beginToLearn();
    learnFrom("b", "c", "d");
    adopt(3, "a", "b", "c", "d", "e");
    assertFalse(voter.isInformed(SHARD));
  }

  @Test
  public void olderListIsNotAdopted() {
    adopt(3, "a", "b", "c", "d", "e");
    adopt(2, "a", "b", "c", "d", "f");
    assertEquals(voter.groups().orElseThrow().list().version(), 3);
  }

  @Test
  public void informedVoterAnswersUnderItsOwnListOnly() {
    beginToLearn();
    learnFrom("b", "c", "d");
    sent.clear();
    voter.onMessage(new VmId("e"), new LearnRequest(Topic.CLAIM, 2, 9, List.of(0)));
    assertTrue(sent.isEmpty());
    voter.onMessage(new VmId("e"), new LearnRequest(Topic.CLAIM, 1, 9, List.of(0)));
    assertEquals(sent.size(), 1);
  }

  @Test
  public void voterWaitsUntilAllVotesHaveExpired() {
    beginToLearn();
    tickFor(300);
    confirm(1, "b", "c", "d", "e");
    tickFor(100 + SETTINGS.keepMillis() - 200);
    assertFalse(voter.isInformed(SHARD));
    tickFor(300);
    assertTrue(voter.isInformed(SHARD));
  }

  @Test
  public void voterDoesNotWaitBeforeAllListedVmsHaveConfirmed() {
    beginToLearn();
    tickFor(300);
    confirm(1, "b", "c", "d");
    tickFor(2 * SETTINGS.keepMillis());
    assertFalse(voter.isInformed(SHARD));
  }

  @Test
  public void voterDoesNotWaitUnderListThatAnotherVmHasReplaced() {
    beginToLearn();
    tickFor(300);
    confirm(1, "b", "c", "d");
    confirm(2, "e");
    tickFor(2 * SETTINGS.keepMillis());
    assertFalse(voter.isInformed(SHARD));
  }

  @Test
  public void voterDoesNotWaitUnderListReceivedFromPeersOnly() {
    voter.setListsFromPeersOnly(true);
    beginToLearn();
    tickFor(300);
    confirm(1, "b", "c", "d", "e");
    tickFor(2 * SETTINGS.keepMillis());
    assertFalse(voter.isInformed(SHARD));
    voter.setListsFromPeersOnly(false);
    tickFor(300);
    confirm(1, "b", "c", "d", "e");
    tickFor(2 * SETTINGS.keepMillis());
    assertTrue(voter.isInformed(SHARD));
  }

  @Test
  public void voterDoesNotConfirmListReceivedFromPeersOnly() {
    voter.setListsFromPeersOnly(true);
    voter.onMessage(new VmId("b"), new AdoptedRequest(Topic.CLAIM, 9));
    assertTrue(sent.isEmpty(), "confirmed");
    voter.setListsFromPeersOnly(false);
    voter.onMessage(new VmId("b"), new AdoptedRequest(Topic.CLAIM, 9));
    assertEquals(sent.getLast().message(), new AdoptedAnswer(Topic.CLAIM, 9, 1));
  }

  private void confirm(long version, String... vms) {
    long attempt =
        sent.reversed().stream()
            .map(Sent::message)
            .filter(AdoptedRequest.class::isInstance)
            .map(message -> ((AdoptedRequest) message).attempt())
            .findFirst()
            .orElseThrow();
    for (String vm : vms) {
      GroupMessage answer = new AdoptedAnswer(Topic.CLAIM, attempt, version);
      voter.onMessage(new VmId(vm), answer);
    }
    voter.tick();
  }

  @Test
  public void voteIsRemovedOnlyAfterTheRetention() {
    beginToLearn();
    learnFrom("b", "c", "d");
    vote("b", "key", 1);
    timers.advance(SETTINGS.retentionMillis());
    assertEquals(vote("c", "key", 1), new VoteResult.Held(new VmId("b"), RUN));
    timers.advance(SETTINGS.keepMillis() - SETTINGS.retentionMillis());
    assertEquals(vote("c", "key", 1), new VoteResult.Granted());
  }

  @Test
  public void releaseOfAnEarlierAttemptKeepsTheVote() {
    beginToLearn();
    learnFrom("b", "c", "d");
    VmId holder = new VmId("b");
    voter.vote(new Ballot(SHARD, "key", holder, RUN, 1, 8));
    voter.release(SHARD, "key", holder, RUN, 7);
    voter.release(SHARD, "key", holder, new Incarnation(78), 9);
    voter.release(SHARD, "key", new VmId("c"), RUN, 9);
    assertEquals(vote("c", "key", 1), new VoteResult.Held(holder, RUN));
    voter.release(SHARD, "key", holder, RUN, 8);
    assertEquals(vote("c", "key", 1), new VoteResult.Granted());
  }

  @Test
  public void unlistedSendersAndOtherTopicsAreIgnored() {
    voter.onMessage(new VmId("stranger"), new AdoptedRequest(Topic.CLAIM, 1));
    voter.onMessage(new VmId("b"), new AdoptedRequest(Topic.LEASE, 1));
    assertTrue(sent.isEmpty());
    assertEquals(ignored.total(), 2);
  }
}
