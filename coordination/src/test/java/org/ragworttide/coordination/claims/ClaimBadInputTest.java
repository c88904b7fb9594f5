package org.ragworttide.coordination.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.group.IgnoredMessages.Reason;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.ClaimMessage.Status;
import org.ragworttide.coordination.message.ClaimMessage.StatusAnswer;
import org.ragworttide.coordination.message.ClaimMessage.StatusRequest;
import org.ragworttide.coordination.message.ClaimMessage.Vote;
import org.ragworttide.coordination.message.ClaimMessage.VoteAnswer;
import org.ragworttide.coordination.message.ClaimMessage.VoteRequest;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that invalid and stale messages are counted and change no state. */
public class ClaimBadInputTest {
  private static final RequestKey KEY = new RequestKey("key");
  private static final Incarnation RUN = new Incarnation(41);

  private final List<PeerMessage> sent = new ArrayList<>();
  private final List<ClaimDecision> decisions = new ArrayList<>();
  private ManualTimerService timers;
  private ClaimManager manager;

  @BeforeMethod
  void start() {
    sent.clear();
    decisions.clear();
    timers = new ManualTimerService();
    manager =
        new ClaimManager(
            new VmId("a"), RUN, timers, (to, message) -> sent.add(message), ClaimFleet.SETTINGS);
    manager.adopt(Fleet.list(5, List.of("a", "b", "c", "d", "e")));
  }

  private long claim() {
    manager.claim(KEY, decisions::add);
    return sent.stream()
        .filter(VoteRequest.class::isInstance)
        .mapToLong(message -> ((VoteRequest) message).attempt())
        .findFirst()
        .orElseThrow();
  }

  private void grant(String from, long version, long attempt) {
    ClaimMessage answer = new VoteAnswer(version, attempt, KEY, Vote.GRANTED, Optional.empty());
    manager.onMessage(new VmId(from), answer);
  }

  private long ignored(Reason reason) {
    return manager.ignored().countOf(reason);
  }

  @Test
  public void votesOfUnknownSendersAreIgnored() {
    long attempt = claim();
    grant("x", 5, attempt);
    grant("y", 5, attempt);
    grant("z", 5, attempt);
    assertTrue(decisions.isEmpty());
    assertEquals(ignored(Reason.UNKNOWN_SENDER), 3);
  }

  @Test
  public void votesUnderOtherListVersionsAreIgnored() {
    long attempt = claim();
    grant("b", 4, attempt);
    grant("c", 6, attempt);
    grant("d", Long.MAX_VALUE, attempt);
    assertTrue(decisions.isEmpty());
    assertEquals(ignored(Reason.OTHER_VERSION), 3);
  }

  @Test
  public void replayedVotesCountOnce() {
    long attempt = claim();
    grant("b", 5, attempt);
    grant("b", 5, attempt);
    grant("b", 5, attempt);
    assertTrue(decisions.isEmpty());
  }

  @Test
  public void votesOfAnotherAttemptAreIgnored() {
    long attempt = claim();
    grant("b", 5, attempt - 1);
    grant("c", 5, attempt + 1);
    grant("d", 5, 0);
    assertTrue(decisions.isEmpty());
    assertEquals(ignored(Reason.STALE_ATTEMPT), 3);
  }

  @Test
  public void votesAfterTheWindowAreIgnored() {
    long attempt = claim();
    grant("b", 5, attempt);
    grant("c", 5, attempt);
    timers.advance(ClaimFleet.SETTINGS.voteWindowMillis());
    grant("d", 5, attempt);
    assertTrue(decisions.isEmpty());
  }

  @Test
  public void votesUnderOlderListAreIgnoredAfterNewerList() {
    long attempt = claim();
    grant("b", 5, attempt);
    grant("c", 5, attempt);
    manager.adopt(Fleet.list(6, List.of("a", "b", "c", "d", "e", "f")));
    grant("d", 5, attempt);
    assertTrue(decisions.isEmpty());
  }

  @Test
  public void unsolicitedStatusAnswerIsIgnored() {
    claim();
    manager.onMessage(new VmId("b"), new StatusAnswer(1, KEY, Status.NOT_RUN, Optional.empty()));
    assertTrue(decisions.isEmpty());
    assertEquals(ignored(Reason.STALE_ATTEMPT), 1);
  }

  @Test
  public void statusRequestForEarlierIncarnationIsAnsweredAsMayHaveRun() {
    manager.onMessage(new VmId("b"), new StatusRequest(9, new Incarnation(40), KEY));
    assertEquals(sent.getLast(), new StatusAnswer(9, KEY, Status.MAY_HAVE_RUN, Optional.empty()));
    assertEquals(ignored(Reason.OTHER_INCARNATION), 1);
  }
}
