package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Answer;
import org.ragworttide.coordination.message.LimitMessage.Ask;
import org.ragworttide.coordination.message.LimitMessage.Close;
import org.ragworttide.coordination.message.LimitMessage.Grant;
import org.ragworttide.coordination.message.LimitMessage.Want;
import org.ragworttide.coordination.time.TimerService;

/**
 * Hands out permits for the organisations that this VM owns.
 *
 * <p>Invariants: tokens are debited before they leave; no permit outlives the ownership that it was
 * granted under; an account of a new ownership starts empty. Not safe for use by several threads.
 */
final class LimitOwner {
  static final int NOT_OWNED_RETRY_MILLIS = 200;
  private static final int MAX_RETRY_AFTER_MILLIS = 3_600_000;

  private final TimerService time;
  private final OwnerView owners;
  private final LimitTable table;
  private final Function<OrganisationId, Optional<Reserve>> reserves;
  private final RequestMemory memory;
  private final Map<LimitPart, OwnerAccount> accounts = new HashMap<>();
  private final Map<Long, LimitPart> permits = new HashMap<>();
  private long nextPermitId;

  LimitOwner(
      TimerService time,
      OwnerView owners,
      LimitTable table,
      Function<OrganisationId, Optional<Reserve>> reserves,
      long firstPermitId) {
    this.time = time;
    this.owners = owners;
    this.table = table;
    this.reserves = reserves;
    this.memory = new RequestMemory(table.settings().retryWindowMillis());
    this.nextPermitId = firstPermitId;
  }

  /** Answers an ask of a holder; its closes take effect first. */
  Answer answer(VmId holder, Ask ask) {
    ask.closes().forEach(close -> close(holder, close));
    List<Grant> grants = new ArrayList<>(ask.wants().size());
    ask.wants().forEach(want -> grants.add(grant(holder, want)));
    return new Answer(ask.askId(), grants);
  }

  /** Brings the accounts of all owned parts up to now, before their limits change. */
  void settleAll() {
    for (LimitPart part : table.parts()) {
      account(part).ifPresent(account -> account.settle(time.nowMillis()));
    }
  }

  /** Applies the shares now in force to the accounts. */
  void applyShares() {
    long now = time.nowMillis();
    for (Map.Entry<LimitPart, OwnerAccount> entry : accounts.entrySet()) {
      adjust(entry.getKey(), entry.getValue(), now);
    }
    for (LimitPart part : table.parts()) {
      if (!accounts.containsKey(part)) {
        startEmpty(part, now);
      }
    }
  }

  /** Forgets accounts that are not needed any more and permits that are no longer open. */
  void sweep() {
    long now = time.nowMillis();
    accounts.forEach((part, account) -> adjust(part, account, now));
    accounts.entrySet().removeIf(entry -> isOver(entry.getKey(), entry.getValue()));
    permits
        .entrySet()
        .removeIf(
            permit -> {
              Optional<OwnerAccount> account = known(permit.getValue());
              return account.isEmpty() || !account.get().isOpen(permit.getKey());
            });
  }

  /** Gives the account what no part, and no VM with more than its least reserve, can use. */
  private void adjust(LimitPart part, OwnerAccount account, long now) {
    account.settle(now);
    int unconfirmed = account.confirmed().unconfirmed(table.settings().maxEntryVms(), now);
    RateLimit share = table.limit(part, unconfirmed).orElse(RateLimit.NOTHING);
    if (!account.bucket().limit().equals(share)) {
      account.bucket().change(share, now);
    }
  }

  private Optional<OwnerAccount> known(LimitPart part) {
    return part.isReserve()
        ? reserves.apply(part.organisation()).map(Reserve::account)
        : Optional.ofNullable(accounts.get(part));
  }

  private boolean isOver(LimitPart part, OwnerAccount account) {
    Optional<Ownership> ownership = owners.ownership(part.resource());
    return ownership.isEmpty()
        || !account.belongsTo(ownership.get())
        || (table.limit(part).isEmpty() && !account.hasOpenPermits());
  }

  /** Returns the account of a part that this VM owns now. */
  Optional<OwnerAccount> account(LimitPart part) {
    if (part.isReserve()) {
      return reserves.apply(part.organisation()).map(Reserve::account);
    }
    Optional<RateLimit> limit = table.limit(part);
    Optional<Ownership> ownership = owners.ownership(part.resource());
    if (limit.isEmpty()
        || ownership.isEmpty()
        || ownership.get().untilMillis() <= time.nowMillis()) {
      return Optional.empty();
    }
    OwnerAccount known = accounts.get(part);
    if (known == null || !known.belongsTo(ownership.get())) {
      long since = ownership.get().sinceMillis();
      known = new OwnerAccount(limit.get(), since, since);
      accounts.put(part, known);
    }
    return Optional.of(known);
  }

  private void startEmpty(LimitPart part, long now) {
    RateLimit share = table.limit(part).orElseThrow();
    owners
        .ownership(part.resource())
        .ifPresent(
            ownership -> accounts.put(part, new OwnerAccount(share, ownership.sinceMillis(), now)));
  }

  private void close(VmId holder, Close close) {
    LimitPart part = permits.get(close.permitId());
    Optional<OwnerAccount> found = part == null ? Optional.empty() : account(part);
    if (found.isEmpty()) {
      return;
    }
    long now = time.nowMillis();
    OwnerAccount account = found.get();
    account.settle(now);
    account
        .close(holder, close)
        .ifPresent(
            used -> {
              permits.remove(close.permitId());
              used.forEach(request -> count(account, request, now));
            });
  }

  private void count(OwnerAccount account, long request, long now) {
    if (memory.useRetry(request, now)) {
      account.bucket().credit(1);
    } else {
      memory.remember(request, now);
    }
  }

  /** Leaves the full reserve to a VM; this part shrinks before the VM hears of it. */
  private Grant confirm(VmId holder, OrganisationId organisation) {
    LimitPart part = new LimitPart(organisation, 0);
    Optional<OwnerAccount> found = account(part);
    if (found.isEmpty()) {
      return Grant.notOwned(NOT_OWNED_RETRY_MILLIS);
    }
    long now = time.nowMillis();
    TokenBucket bucket = found.get().bucket();
    adjust(part, found.get(), now);
    final long before = bucket.levelNanos();
    found.get().confirmed().add(holder, now);
    adjust(part, found.get(), now);
    int moved = (int) ((before - bucket.levelNanos()) / RateLimit.NANOS_PER_TOKEN);
    int wait = bucket.isOverdrawn() ? (int) ClockRate.stretched(LimitTimes.PERMIT_MILLIS) : 0;
    return new Grant(true, 0, moved, LimitTimes.CONFIRMED_MILLIS, false, wait, List.of());
  }

  private Grant grant(VmId holder, Want want) {
    LimitPart part = new LimitPart(want.organisation(), want.part());
    if (part.isConfirmation()) {
      return confirm(holder, want.organisation());
    }
    Optional<OwnerAccount> found = account(part);
    if (found.isEmpty()) {
      return Grant.notOwned(NOT_OWNED_RETRY_MILLIS);
    }
    long duration = Math.min(LimitTimes.PERMIT_MILLIS, remainingMillis(part));
    if (duration < LimitTimes.MIN_PERMIT_MILLIS) {
      return Grant.notOwned(NOT_OWNED_RETRY_MILLIS);
    }
    return grant(new Lender(holder, part, found.get()), want, (int) duration);
  }

  private Grant grant(Lender lender, Want want, int durationMillis) {
    long now = time.nowMillis();
    OwnerAccount account = lender.account;
    account.settle(now);
    List<Integer> counted = counted(want.requests(), now);
    int waiting = want.requests().size() - counted.size();
    int spare = (int) Math.min(want.spareTokens(), account.spareTokens(waiting));
    long until = now + ClockRate.stretched(durationMillis);
    List<Long> asked = counted.isEmpty() ? want.requests() : List.of();
    int granted = account.open(nextPermitId, lender.holder, waiting + spare, until, asked);
    int retryAfter = granted < waiting ? retryAfter(lender, now) : 0;
    boolean scarce = account.bucket().isScarce();
    if (granted == 0) {
      return new Grant(true, 0, 0, 0, scarce, retryAfter, counted);
    }
    permits.put(nextPermitId, lender.part);
    return new Grant(true, nextPermitId++, granted, durationMillis, scarce, retryAfter, counted);
  }

  /** Returns how long permits of a part may be used; no lease limits those of a reserve. */
  private long remainingMillis(LimitPart part) {
    if (part.isReserve()) {
      return reserves
          .apply(part.organisation())
          .map(reserve -> reserve.lendableMillis(time.nowMillis()))
          .orElse(0L);
    }
    long until = owners.ownership(part.resource()).orElseThrow().untilMillis();
    return ClockRate.shortened(until - time.nowMillis());
  }

  private List<Integer> counted(List<Long> requests, long now) {
    List<Integer> positions = new ArrayList<>(0);
    for (int i = 0; i < requests.size(); i++) {
      if (memory.useRetry(requests.get(i), now)) {
        positions.add(i);
      }
    }
    return positions;
  }

  private static int retryAfter(Lender lender, long now) {
    long refill = lender.account.bucket().millisUntilToken();
    long expiry = Math.max(1, lender.account.nextExpiryMillis(now + refill) - now);
    long least = lender.part.isReserve() ? LimitTimes.MIN_LENDER_RETRY_MILLIS : 1;
    return (int) Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(least, Math.min(refill, expiry)));
  }

  private record Lender(VmId holder, LimitPart part, OwnerAccount account) {}
}
