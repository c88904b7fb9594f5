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
 * Grants permits for the parts of limits that this VM owns and for its own reserves, and confirms
 * the reserves of VMs.
 *
 * <p>Invariants: tokens are debited before they are granted; no permit outlives the ownership under
 * which it was granted; the account of a new ownership starts empty. Not safe for use by several
 * threads.
 */
final class LimitOwner {
  static final int NOT_OWNED_RETRY_MILLIS = 200;
  private static final int MAX_RETRY_AFTER_MILLIS = 3_600_000;

  private final TimerService time;
  private final OwnerView owners;
  private final LimitTable table;
  private final Function<OrganisationId, Optional<Reserve>> reserves;
  private final CountedRequestCache countedRequests;
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
    this.countedRequests = new CountedRequestCache(table.settings().retryWindowMillis());
    this.nextPermitId = firstPermitId;
  }

  /** Answers an ask of a holder; its closes are applied before its wants. */
  Answer answer(VmId holder, Ask ask) {
    ask.closes().forEach(close -> close(holder, close));
    List<Grant> grants = new ArrayList<>(ask.wants().size());
    ask.wants().forEach(want -> grants.add(grant(holder, want)));
    return new Answer(ask.askId(), grants);
  }

  /** Updates the accounts of all owned parts to the present time, before their limits change. */
  void settleAll() {
    for (LimitPart part : table.parts()) {
      account(part).ifPresent(account -> account.settle(time.nowMillis()));
    }
  }

  /** Applies the current shares to the accounts. */
  void applyShares() {
    long now = time.nowMillis();
    for (Map.Entry<LimitPart, OwnerAccount> entry : accounts.entrySet()) {
      adjustShare(entry.getKey(), entry.getValue(), now);
    }
    for (LimitPart part : table.parts()) {
      if (!accounts.containsKey(part)) {
        startEmpty(part, now);
      }
    }
  }

  /**
   * Adjusts the shares of the accounts, and removes accounts that are no longer needed and permits
   * that are no longer open.
   */
  void sweep() {
    long now = time.nowMillis();
    accounts.forEach((part, account) -> adjustShare(part, account, now));
    accounts.entrySet().removeIf(entry -> isObsolete(entry.getKey(), entry.getValue()));
    permits
        .entrySet()
        .removeIf(
            permit -> {
              Optional<OwnerAccount> account = findAccount(permit.getValue());
              return account.isEmpty() || !account.get().isOpen(permit.getKey());
            });
  }

  /**
   * Sets the account's share to the part's own share plus the reserves that unconfirmed VMs do not
   * use.
   */
  private void adjustShare(LimitPart part, OwnerAccount account, long now) {
    account.settle(now);
    int unconfirmed = account.confirmed().countUnconfirmed(table.settings().maxEntryVms(), now);
    RateLimit share = table.limit(part, unconfirmed).orElse(RateLimit.ZERO);
    if (!account.bucket().limit().equals(share)) {
      account.bucket().change(share, now);
    }
  }

  private Optional<OwnerAccount> findAccount(LimitPart part) {
    return part.isReserve()
        ? reserves.apply(part.organisation()).map(Reserve::account)
        : Optional.ofNullable(accounts.get(part));
  }

  private boolean isObsolete(LimitPart part, OwnerAccount account) {
    Optional<Ownership> ownership = owners.ownership(part.resource());
    return ownership.isEmpty()
        || !account.belongsTo(ownership.get())
        || (table.limit(part).isEmpty() && !account.hasOpenPermits());
  }

  /** Returns the account of a part that this VM owns now, or of its own reserve. */
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
    OwnerAccount account = accounts.get(part);
    if (account == null || !account.belongsTo(ownership.get())) {
      long since = ownership.get().sinceMillis();
      account = new OwnerAccount(limit.get(), since, since);
      accounts.put(part, account);
    }
    return Optional.of(account);
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
              used.forEach(request -> countRequest(account, request, now));
            });
  }

  private void countRequest(OwnerAccount account, long request, long now) {
    if (countedRequests.tryUseRetry(request, now)) {
      account.bucket().credit(1);
    } else {
      countedRequests.add(request, now);
    }
  }

  /**
   * Confirms the full reserve of a VM; the owner's share shrinks before the confirmation is sent.
   */
  private Grant confirm(VmId holder, OrganisationId organisation) {
    LimitPart part = new LimitPart(organisation, 0);
    Optional<OwnerAccount> found = account(part);
    if (found.isEmpty()) {
      return Grant.notOwned(NOT_OWNED_RETRY_MILLIS);
    }
    long now = time.nowMillis();
    TokenBucket bucket = found.get().bucket();
    adjustShare(part, found.get(), now);
    final long levelBefore = bucket.levelNanos();
    found.get().confirmed().add(holder, now);
    adjustShare(part, found.get(), now);
    int transferred = (int) ((levelBefore - bucket.levelNanos()) / RateLimit.NANOS_PER_TOKEN);
    int waitMillis =
        bucket.isOverdrawn() ? (int) ClockDrift.stretched(LimitTimes.PERMIT_MILLIS) : 0;
    return new Grant(
        true, 0, transferred, LimitTimes.CONFIRMED_MILLIS, false, waitMillis, List.of());
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
    return grant(new GrantContext(holder, part, found.get()), want, (int) duration);
  }

  private Grant grant(GrantContext context, Want want, int durationMillis) {
    long now = time.nowMillis();
    OwnerAccount account = context.account;
    account.settle(now);
    List<Integer> counted = countedPositions(want.requests(), now);
    int waiting = want.requests().size() - counted.size();
    int spare = (int) Math.min(want.spareTokens(), account.spareTokens(waiting));
    long expiresAt = now + ClockDrift.stretched(durationMillis);
    List<Long> askedRequests = counted.isEmpty() ? want.requests() : List.of();
    int granted =
        account.open(nextPermitId, context.holder, waiting + spare, expiresAt, askedRequests);
    int retryAfter = granted < waiting ? retryAfter(context, now) : 0;
    boolean scarce = account.bucket().isScarce();
    if (granted == 0) {
      return new Grant(true, 0, 0, 0, scarce, retryAfter, counted);
    }
    permits.put(nextPermitId, context.part);
    return new Grant(true, nextPermitId++, granted, durationMillis, scarce, retryAfter, counted);
  }

  /**
   * Returns how long a permit that is granted now may be valid. The lease bounds this time for a
   * part; a reserve needs no lease and sets a bound itself.
   */
  private long remainingMillis(LimitPart part) {
    if (part.isReserve()) {
      return reserves
          .apply(part.organisation())
          .map(reserve -> reserve.maxLoanMillis(time.nowMillis()))
          .orElse(0L);
    }
    long until = owners.ownership(part.resource()).orElseThrow().untilMillis();
    return ClockDrift.shortened(until - time.nowMillis());
  }

  private List<Integer> countedPositions(List<Long> requests, long now) {
    List<Integer> positions = new ArrayList<>(0);
    for (int i = 0; i < requests.size(); i++) {
      if (countedRequests.tryUseRetry(requests.get(i), now)) {
        positions.add(i);
      }
    }
    return positions;
  }

  private static int retryAfter(GrantContext context, long now) {
    long refillMillis = context.account.bucket().millisUntilToken();
    long expiryMillis = Math.max(1, context.account.nextExpiryMillis(now + refillMillis) - now);
    long minimum = context.part.isReserve() ? LimitTimes.MIN_LENDER_RETRY_MILLIS : 1;
    return (int)
        Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(minimum, Math.min(refillMillis, expiryMillis)));
  }

  private record GrantContext(VmId holder, LimitPart part, OwnerAccount account) {}
}
