package org.ragworttide.coordination.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests properties of the limits one by one on a fleet of three VMs. */
public class LimitsTest {
  private static final OrganisationId HOTEL = new OrganisationId("hotel");
  private static final long FOREVER_MILLIS = 1_000_000;

  private final List<PeerMessage> messages = new ArrayList<>();
  private final List<LimitDecision> decisions = new ArrayList<>();
  private LimitFleet fleet;

  /** Creates three VMs and one organisation. */
  @BeforeMethod
  public void createFleet() {
    messages.clear();
    decisions.clear();
    fleet = new LimitFleet(1, 3, new LimitSettings(3, 0.2, 60_000), this::recordMessage);
    fleet.apply(Map.of(HOTEL, new RateLimit(10, 30)));
  }

  @Test
  public void newOwnerStartsEmpty() {
    fleet.setOwner(vm(0), 0, FOREVER_MILLIS);
    fleet.time.advance(50);
    request(0, "a");
    assertTrue(decisions.getFirst() instanceof LimitDecision.Refused);
  }

  @Test
  public void refusalReportsWhenToRetry() {
    fleet.setOwner(vm(0), 0, FOREVER_MILLIS);
    fleet.time.advance(10);
    request(0, "a");
    LimitDecision.Refused refused = (LimitDecision.Refused) decisions.getFirst();
    assertEquals(refused.reason(), RefusalReason.RATE_EXCEEDED);
    assertTrue(refused.retryAfterMillis() > 0 && refused.retryAfterMillis() <= 130);
  }

  @Test
  public void retryAtTheSameVmCountsOnce() {
    startWithFullBuckets();
    request(1, "a");
    request(1, "a");
    assertEquals(decisions.get(0), new LimitDecision.Admitted(false));
    assertEquals(decisions.get(1), new LimitDecision.Admitted(true));
  }

  @Test
  public void retryAtAnotherVmCountsOnce() {
    startWithoutReserves();
    request(1, "a");
    fleet.time.advance(400);
    request(2, "a");
    assertEquals(decisions.getLast(), new LimitDecision.Admitted(true));
  }

  @Test
  public void retriesBeyondTheAllowedNumberAreCounted() {
    startWithFullBuckets();
    for (int i = 0; i < 12; i++) {
      request(1, "a");
      fleet.time.advance(400);
    }
    long uncounted = decisions.stream().filter(new LimitDecision.Admitted(true)::equals).count();
    assertTrue(
        uncounted <= 2 * CountedRequestCache.MAX_RETRIES, uncounted + " retries were not counted");
  }

  @Test
  public void partitionedVmAdmitsFromItsReserve() {
    startWithFullBuckets();
    fleet.isolate(vm(1), true);
    request(1, "a");
    request(1, "b");
    request(1, "c");
    fleet.time.advance(LimitTimes.ASK_TIMEOUT_MILLIS + 50);
    assertEquals(decisions.get(0), new LimitDecision.Admitted(false));
    assertEquals(decisions.get(1), new LimitDecision.Admitted(false));
    assertTrue(decisions.get(2) instanceof LimitDecision.Refused);
  }

  @Test
  public void loweredBurstAppliesAtOnce() {
    startWithFullBuckets();
    fleet.apply(Map.of(HOTEL, new RateLimit(10, 1)));
    assertTrue(fleet.at(vm(0)).ownedTokens(HOTEL) <= 1);
    assertEquals(fleet.at(vm(1)).reservedTokens(HOTEL), 0);
  }

  @Test
  public void raisedBurstDoesNotFillTheBucketAtOnce() {
    startWithFullBuckets();
    fleet.apply(Map.of(HOTEL, new RateLimit(10, 300)));
    assertTrue(fleet.at(vm(0)).ownedTokens(HOTEL) <= 30);
  }

  @Test
  public void removedAndRestoredOrganisationStartsEmpty() {
    startWithFullBuckets();
    fleet.apply(Map.of());
    fleet.apply(Map.of(HOTEL, new RateLimit(10, 30)));
    assertEquals(fleet.at(vm(0)).ownedTokens(HOTEL), 0);
    assertEquals(fleet.at(vm(1)).reservedTokens(HOTEL), 0);
  }

  @Test
  public void replayedMessagesCreateNoExtraTokens() {
    startWithoutReserves();
    for (int i = 0; i < 6; i++) {
      request(1, "a" + i);
    }
    fleet.at(vm(1)).returnTokens();
    fleet.time.advance(5);
    long before = fleet.at(vm(0)).ownedTokens(HOTEL);
    for (PeerMessage message : List.copyOf(messages)) {
      if (message instanceof LimitMessage.Ask ask) {
        LimitMessage.Ask closes = new LimitMessage.Ask(ask.askId(), List.of(), ask.closes());
        fleet.at(vm(0)).receive(vm(1), closes);
      }
    }
    assertEquals(fleet.at(vm(0)).ownedTokens(HOTEL), before);
  }

  @Test
  public void permitOfPausedHolderIsNotUsedAfterItsExpiry() {
    startWithoutReserves();
    for (int i = 0; i < 8; i++) {
      request(1, "a" + i);
    }
    assertTrue(fleet.at(vm(1)).heldTokens(HOTEL) > 0);
    fleet.clock(vm(1)).pause();
    fleet.time.advance(5_000);
    assertEquals(fleet.at(vm(1)).heldTokens(HOTEL), 0);
  }

  @Test
  public void answerWithoutAnAskIsCountedAndIgnored() {
    startWithFullBuckets();
    LimitMessage.Grant forged = new LimitMessage.Grant(true, 7, 500, 2_000, false, 0, List.of());
    fleet.at(vm(1)).receive(vm(2), new LimitMessage.Answer(7, List.of(forged)));
    assertEquals(fleet.at(vm(1)).heldTokens(HOTEL), 0);
    assertEquals(fleet.at(vm(1)).counters().unexpectedMessages(), 1);
  }

  @Test
  public void answerFromVmThatWasNotAskedIsIgnored() {
    startWithoutReserves();
    fleet.isolate(vm(0), true);
    fleet.request(vm(1), HOTEL, "a", decisions::add);
    fleet.time.advance(5);
    LimitMessage.Ask ask = (LimitMessage.Ask) messages.getLast();
    LimitMessage.Grant forged = new LimitMessage.Grant(true, 7, 1, 1_000, false, 0, List.of());
    fleet.at(vm(1)).receive(vm(2), new LimitMessage.Answer(ask.askId(), List.of(forged)));
    assertTrue(decisions.isEmpty());
  }

  @Test
  public void grantOfMoreTokensThanRequestedIsIgnored() {
    startWithoutReserves();
    fleet.isolate(vm(0), true);
    fleet.request(vm(1), HOTEL, "a", decisions::add);
    fleet.time.advance(5);
    LimitMessage.Ask ask = (LimitMessage.Ask) messages.getLast();
    LimitMessage.Grant forged = new LimitMessage.Grant(true, 7, 500, 1_000, false, 0, List.of());
    fleet.at(vm(1)).receive(vm(0), new LimitMessage.Answer(ask.askId(), List.of(forged)));
    assertEquals(fleet.at(vm(1)).heldTokens(HOTEL), 0);
  }

  @Test
  public void permitsExpireWithTheOwnership() {
    fleet = new LimitFleet(1, 3, new LimitSettings(3, 0, 60_000), this::recordMessage);
    fleet.apply(Map.of(HOTEL, new RateLimit(10, 30)));
    fleet.setOwner(vm(0), 0, 20_000);
    fleet.time.advance(19_700);
    for (int i = 0; i < 8; i++) {
      request(1, "a" + i);
    }
    assertTrue(fleet.at(vm(1)).heldTokens(HOTEL) > 0);
    fleet.clock(vm(1)).pause();
    fleet.time.advance(20_000 - fleet.time.nowMillis());
    assertEquals(fleet.at(vm(1)).heldTokens(HOTEL), 0);
  }

  @Test
  public void tokensOfAnEarlierOwnershipAreNotUsedAgain() {
    fleet = new LimitFleet(1, 3, new LimitSettings(3, 0, 60_000), this::recordMessage);
    fleet.apply(Map.of(HOTEL, new RateLimit(10, 30)));
    fleet.setOwner(vm(0), 0, 20_000);
    fleet.setOwner(vm(1), 20_000, 30_000);
    fleet.setOwner(vm(0), 30_000, FOREVER_MILLIS);
    fleet.time.advance(19_900);
    assertTrue(fleet.at(vm(0)).ownedTokens(HOTEL) >= 0);
    request(1, "a");
    fleet.clock(vm(0)).pause();
    fleet.time.advance(10_500);
    fleet.clock(vm(0)).resume(() -> {});
    request(2, "b");
    assertTrue(fleet.at(vm(0)).ownedTokens(HOTEL) <= 6);
  }

  @Test
  public void stoppingVmReturnsItsTokens() {
    startWithoutReserves();
    for (int i = 0; i < 8; i++) {
      request(1, "a" + i);
    }
    fleet.at(vm(1)).returnTokens();
    fleet.time.advance(10);
    assertEquals(fleet.at(vm(1)).heldTokens(HOTEL), 0);
    assertTrue(fleet.at(vm(0)).ownedTokens(HOTEL) >= 24 - 8);
  }

  @Test
  public void organisationWithinItsRateIsNotRefused() {
    startWithFullBuckets();
    for (int i = 0; i < 500; i++) {
      fleet.time.advance(115);
      request(i % 3, "r" + i);
    }
    assertFalse(decisions.stream().anyMatch(LimitDecision.Refused.class::isInstance));
  }

  @Test
  public void requestIsAdmittedByAnotherPartWhenOnePartIsEmpty() {
    fleet = new LimitFleet(1, 3, new LimitSettings(30, 0, 60_000), this::recordMessage);
    fleet.apply(Map.of(HOTEL, new RateLimit(40, 40)));
    assertEquals(fleet.resources(HOTEL), List.of("hotel", "hotel#1"));
    fleet.setOwner(vm(0), 0, FOREVER_MILLIS);
    fleet.time.advance(20_000);
    for (int i = 0; i < 39; i++) {
      fleet.request(vm(2), HOTEL, "r" + i, decisions::add);
    }
    fleet.time.advance(100);
    assertFalse(decisions.stream().anyMatch(LimitDecision.Refused.class::isInstance));
    assertEquals(decisions.size(), 39);
  }

  @Test
  public void unknownOrganisationIsRefused() {
    fleet.request(vm(0), new OrganisationId("nobody"), "a", decisions::add);
    LimitDecision.Refused refused = (LimitDecision.Refused) decisions.getFirst();
    assertEquals(refused.reason(), RefusalReason.UNKNOWN_ORGANISATION);
  }

  private void recordMessage(VmId from, VmId to, PeerMessage message) {
    messages.add(message);
  }

  private void startWithFullBuckets() {
    fleet.setOwner(vm(0), 0, FOREVER_MILLIS);
    fleet.time.advance(20_000);
  }

  private void startWithoutReserves() {
    fleet = new LimitFleet(1, 3, new LimitSettings(3, 0, 60_000), this::recordMessage);
    fleet.apply(Map.of(HOTEL, new RateLimit(10, 30)));
    startWithFullBuckets();
  }

  private void request(int vm, String request) {
    fleet.request(vm(vm), HOTEL, request, decisions::add);
    fleet.time.advance(10);
  }

  private VmId vm(int index) {
    return fleet.vms.get(index);
  }
}
