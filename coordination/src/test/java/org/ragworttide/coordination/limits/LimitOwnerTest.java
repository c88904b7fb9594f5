package org.ragworttide.coordination.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the owner of a limit with asks that the test creates in place of a holder. */
public class LimitOwnerTest {
  private static final OrganisationId HOTEL = new OrganisationId("hotel");
  private static final LimitPart HOTEL_PART = new LimitPart(HOTEL, 0);
  private static final VmId HOLDER = new VmId("holder");
  private static final int FULL_AFTER_MILLIS = 10_000;

  private ManualTimerService time;
  private LimitOwner owner;
  private long ownedUntilMillis;

  /** Creates an owner whose bucket is full. */
  @BeforeMethod
  public void createOwner() {
    time = new ManualTimerService();
    ownedUntilMillis = Long.MAX_VALUE / 2;
    LimitTable table = new LimitTable(new LimitSettings(3, 0, 60_000));
    table.replace(Map.of(HOTEL, new RateLimit(1, 4)));
    owner = new LimitOwner(time, new SelfOwner(), table, id -> Optional.empty(), 1);
    time.advance(FULL_AFTER_MILLIS);
  }

  @Test
  public void permitIsOutstandingUntilItHasExpiredOnTheSlowestClock() {
    LimitMessage.Grant grant = ask(1, List.of());
    long slowestExpiryMillis = grant.durationMillis() * 1_001L / 999;
    time.advance(slowestExpiryMillis);
    OwnerAccount account = owner.account(HOTEL_PART).orElseThrow();
    account.settle(time.nowMillis());
    assertTrue(account.hasOpenPermits());
    time.advance(10);
    account.settle(time.nowMillis());
    assertFalse(account.hasOpenPermits());
  }

  @Test
  public void noPermitOutlivesTheOwnership() {
    ownedUntilMillis = time.nowMillis() + 500;
    LimitMessage.Grant grant = ask(1, List.of());
    assertTrue(grant.tokens() == 1 && grant.durationMillis() < 500);
  }

  @Test
  public void nothingIsGrantedAfterTheOwnershipHasExpired() {
    ownedUntilMillis = time.nowMillis();
    assertFalse(ask(1, List.of()).owned());
  }

  @Test
  public void closeReturnsUnusedTokensOnce() {
    LimitMessage.Grant grant = ask(3, List.of());
    LimitMessage.Close close = new LimitMessage.Close(grant.permitId(), false, List.of(1L));
    ask(0, List.of(close));
    ask(0, List.of(close));
    TokenBucket bucket = owner.account(HOTEL_PART).orElseThrow().bucket();
    assertEquals(bucket.outstandingNanos(), 0);
    assertEquals(bucket.wholeTokens(), 3);
  }

  @Test
  public void closeByAnotherHolderIsIgnored() {
    LimitMessage.Grant grant = ask(3, List.of());
    LimitMessage.Close close = new LimitMessage.Close(grant.permitId(), false, List.of());
    owner.answer(new VmId("other"), new LimitMessage.Ask(9, List.of(), List.of(close)));
    assertEquals(owner.account(HOTEL_PART).orElseThrow().bucket().wholeTokens(), 1);
  }

  private LimitMessage.Grant ask(int tokens, List<LimitMessage.Close> closes) {
    List<Long> requests = LongStream.range(0, tokens).boxed().toList();
    LimitMessage.Want want = new LimitMessage.Want(HOTEL, 0, requests, 0);
    return owner.answer(HOLDER, new LimitMessage.Ask(1, List.of(want), closes)).grants().getFirst();
  }

  private final class SelfOwner implements OwnerView {
    @Override
    public Optional<VmId> ownerOf(String resource) {
      return Optional.empty();
    }

    @Override
    public Optional<Ownership> ownership(String resource) {
      return Optional.of(new Ownership(0, ownedUntilMillis));
    }
  }
}
