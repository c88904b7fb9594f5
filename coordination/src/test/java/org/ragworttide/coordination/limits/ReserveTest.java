package org.ragworttide.coordination.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.net.VmClock;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that lending, confirming and reducing reserves never creates extra tokens. */
public class ReserveTest {
  private static final OrganisationId HOTEL = new OrganisationId("hotel");
  private static final RateLimit LIMIT = new RateLimit(40, 40);
  private static final LimitSettings SETTINGS = new LimitSettings(4, 0.2, 0.8, 60_000);
  private static final int FULL_SHARE = 8;
  private static final int UNCONFIRMED_SHARE = 2;
  private static final int ALL_SETTLED_MILLIS = 2 * LimitTimes.CONFIRMED_MILLIS;
  private static final long FOREVER_MILLIS = 10_000_000;

  private final List<LimitDecision> decisions = new ArrayList<>();
  private LimitFleet fleet;

  /** Creates three of at most four VMs; the first one owns the limit. */
  @BeforeMethod
  public void createFleet() {
    decisions.clear();
    fleet = new LimitFleet(1, 3, SETTINGS);
    fleet.apply(Map.of(HOTEL, LIMIT));
    fleet.setOwner(vm(0), 0, FOREVER_MILLIS);
    fleet.time.advance(ALL_SETTLED_MILLIS);
  }

  @Test
  public void ownerGrantsTheShareOfTheVmThatIsNotRunning() {
    assertEquals(reserved(1), FULL_SHARE);
    assertEquals(owned(), 40 - 3 * FULL_SHARE - UNCONFIRMED_SHARE);
  }

  @Test
  public void oneVmCanUseAlmostTheWholeBurst() {
    request(1, 40);
    assertTrue(admitted() >= 40 - UNCONFIRMED_SHARE - 1, admitted() + " of 40 admitted");
  }

  @Test
  public void retryAtAnotherVmOfRequestAdmittedFromReserveIsNotCountedAgain() {
    fleet.request(vm(1), HOTEL, "retried", decisions::add);
    fleet.time.advance(1_000);
    fleet.request(vm(2), HOTEL, "retried", decisions::add);
    assertEquals(
        decisions, List.of(new LimitDecision.Admitted(false), new LimitDecision.Admitted(true)));
  }

  @Test
  public void eachOtherVmAllowsOneRetryOfRequestAdmittedFromReserve() {
    fleet.request(vm(1), HOTEL, "retried", decision -> {});
    fleet.time.advance(1_000);
    fleet.request(vm(2), HOTEL, "retried", decisions::add);
    fleet.request(vm(2), HOTEL, "retried", decisions::add);
    assertEquals(
        decisions, List.of(new LimitDecision.Admitted(true), new LimitDecision.Admitted(false)));
  }

  @Test
  public void vmBorrowsFromItsPeersWhenTheOwnerIsUnreachable() {
    fleet.isolate(vm(0), true);
    fleet.time.advance(1);
    request(1, 2 * FULL_SHARE);
    request(1, FULL_SHARE);
    assertTrue(admitted() > FULL_SHARE + FULL_SHARE / 2, admitted() + " admitted");
  }

  @Test
  public void partitionedVmKeepsItsFullShareUntilTheConfirmationExpires() {
    fleet.isolate(vm(1), true);
    fleet.time.advance(LimitTimes.CONFIRMED_MILLIS / 3 - 6_000);
    assertEquals(reserved(1), FULL_SHARE);
    fleet.time.advance(LimitTimes.CONFIRMED_MILLIS);
    assertEquals(reserved(1), UNCONFIRMED_SHARE);
    assertEquals(owned(), 40 - 2 * FULL_SHARE - 2 * UNCONFIRMED_SHARE);
  }

  @Test
  public void newOwnerCountsEveryVmAsConfirmedWhileConfirmationsOfAnEarlierOwnerMayBeValid() {
    ConfirmedVms confirmed = new ConfirmedVms(1_000);
    confirmed.add(vm(0), 1_000);
    long slowestExpiryMillis = 1_000 + LimitTimes.CONFIRMED_MILLIS * 1_001L / 999;
    assertEquals(confirmed.countUnconfirmed(4, slowestExpiryMillis), 0);
    assertEquals(confirmed.countUnconfirmed(4, slowestExpiryMillis + 10), 4);
  }

  @Test
  public void restartedLenderDoesNotRefillWhilePermitsThatItLentMayBeValid() {
    Reserve reserve = new Reserve(shares(), 0);
    reserve.settle(LimitTimes.PERMIT_MILLIS * 1_001 / 999);
    assertEquals(reserve.bucket().levelNanos(), 0);
    reserve.settle(ALL_SETTLED_MILLIS);
    assertEquals(reserve.bucket().wholeTokens(), UNCONFIRMED_SHARE);
  }

  @Test
  public void reserveGrowsOnlyWhenTheExcessPermitsOfTheOwnerHaveExpired() {
    Reserve reserve = new Reserve(shares(), 0);
    reserve.confirm(60_000, 12_000, 0, 10_000);
    reserve.settle(11_999);
    assertEquals(reserve.bucket().wholeTokens(), UNCONFIRMED_SHARE);
    reserve.settle(12_000);
    reserve.settle(30_000);
    assertEquals(reserve.bucket().wholeTokens(), FULL_SHARE);
  }

  @Test
  public void ownerTransfersTheTokensOfItsReducedShareToTheConfirmedVm() {
    LimitMessage.Grant confirmation = confirmationAfterLending(4);
    assertEquals(confirmation.tokens(), FULL_SHARE - UNCONFIRMED_SHARE);
    assertEquals(confirmation.retryAfterMillis(), 0);
  }

  @Test
  public void ownerThatHasLentMoreThanItsReducedShareDelaysTheVm() {
    LimitMessage.Grant confirmation = confirmationAfterLending(30);
    assertEquals(confirmation.tokens(), 2);
    assertTrue(confirmation.retryAfterMillis() >= LimitTimes.PERMIT_MILLIS * 1_001 / 999);
  }

  @Test
  public void lentPermitsExpireBeforeTheFullShareEnds() {
    Reserve reserve = new Reserve(shares(), 0);
    reserve.confirm(20_000, 10_000, 0, 10_000);
    assertTrue(ClockDrift.stretched(reserve.maxLoanMillis(19_000)) <= 1_000);
  }

  @Test
  public void lentTokensReduceTheRefill() {
    Reserve reserve = new Reserve(shares(), 0);
    reserve.settle(30_000);
    reserve.account().open(1, vm(1), UNCONFIRMED_SHARE, 40_000, List.of());
    reserve.settle(39_999);
    assertEquals(reserve.bucket().wholeTokens(), 0);
  }

  /** Returns the first confirmation of an owner whose bucket was full before it lent tokens. */
  private LimitMessage.Grant confirmationAfterLending(int tokens) {
    ManualTimerService time = new ManualTimerService();
    LimitTable table = new LimitTable(SETTINGS);
    table.replace(Map.of(HOTEL, LIMIT));
    ScriptedOwners owners = new ScriptedOwners(time);
    owners.addOwnership(HOTEL.value(), vm(0), 0, FOREVER_MILLIS);
    OwnerView view = owners.view(vm(0), new VmClock(time, 0, 0));
    LimitOwner owner = new LimitOwner(time, view, table, id -> Optional.empty(), 1);
    owner.applyShares();
    for (int i = 0; i < ALL_SETTLED_MILLIS / LimitTimes.SWEEP_PERIOD_MILLIS; i++) {
      time.advance(LimitTimes.SWEEP_PERIOD_MILLIS);
      owner.sweep();
    }
    List<Long> requests = LongStream.range(0, tokens).boxed().toList();
    LimitMessage.Want want = new LimitMessage.Want(HOTEL, 0, requests, 0);
    int confirmation = LimitPart.confirmation(HOTEL).index();
    LimitMessage.Want second = new LimitMessage.Want(HOTEL, confirmation, List.of(), 0);
    LimitMessage.Ask ask = new LimitMessage.Ask(1, List.of(want, second), List.of());
    return owner.answer(vm(1), ask).grants().getLast();
  }

  private static LimitShares shares() {
    return LimitShares.of(LIMIT, SETTINGS);
  }

  private void request(int vm, int requests) {
    for (int i = 0; i < requests; i++) {
      fleet.request(vm(vm), HOTEL, "r" + vm + "-" + decisions.size() + "-" + i, decisions::add);
    }
    fleet.time.advance(2 * LimitTimes.ASK_TIMEOUT_MILLIS);
  }

  private long admitted() {
    return decisions.stream().filter(LimitDecision.Admitted.class::isInstance).count();
  }

  private long reserved(int vm) {
    return fleet.at(vm(vm)).reservedTokens(HOTEL);
  }

  private long owned() {
    return fleet.at(vm(0)).ownedTokens(HOTEL);
  }

  private VmId vm(int index) {
    return fleet.vms.get(index);
  }
}
