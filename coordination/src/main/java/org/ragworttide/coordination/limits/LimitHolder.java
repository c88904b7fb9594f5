package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Answer;
import org.ragworttide.coordination.message.LimitMessage.Ask;
import org.ragworttide.coordination.message.LimitMessage.Grant;
import org.ragworttide.coordination.time.TimerService;

/**
 * Admits requests on this VM by permits of the owners and by the VM's own reserves.
 *
 * <p>Invariants: a request that is admitted and counted has used a token that was debited before;
 * each request is decided once, within {@link LimitTimes#ASK_TIMEOUT_MILLIS} of its ask. Not safe
 * for use by several threads.
 */
final class LimitHolder {
  private static final int UNKNOWN_OWNER_RETRY_MILLIS = 500;
  private static final int UNKNOWN_ORGANISATION_RETRY_MILLIS = 5_000;
  private static final int SILENT_OWNER_MILLIS = 1_000;

  private final VmId self;
  private final TimerService time;
  private final OwnerView owners;
  private final RequestMemory memory;
  private final LimitTally tally;
  private final AskOutbox outbox;
  private final Map<OrganisationId, HolderAccount> accounts = new HashMap<>();
  private final Map<Long, PendingAsk> pending = new HashMap<>();
  private final Map<VmId, Long> silentUntilMillis = new HashMap<>();
  private BiConsumer<VmId, Ask> sender = (owner, ask) -> {};

  LimitHolder(
      VmId self,
      TimerService time,
      OwnerView owners,
      LimitSettings settings,
      LimitTally tally,
      long firstAskId) {
    this.self = self;
    this.time = time;
    this.owners = owners;
    this.memory = new RequestMemory(settings.retryWindowMillis());
    this.tally = tally;
    this.outbox = new AskOutbox(time, firstAskId, this::send);
  }

  void sendWith(BiConsumer<VmId, Ask> newSender) {
    this.sender = newSender;
  }

  Optional<HolderAccount> account(OrganisationId organisation) {
    return Optional.ofNullable(accounts.get(organisation));
  }

  void acquire(OrganisationId organisation, long request, Consumer<LimitDecision> decision) {
    Waiter waiter = new Waiter(request, decision);
    HolderAccount account = accounts.get(organisation);
    long now = time.nowMillis();
    if (account == null) {
      refuse(waiter, UNKNOWN_ORGANISATION_RETRY_MILLIS, RefusalReason.UNKNOWN_ORGANISATION);
    } else if (memory.useRetry(request, now)) {
      admitRetry(waiter);
    } else {
      account.demand().record(now);
      acquire(account, waiter, now);
    }
  }

  private void acquire(HolderAccount account, Waiter waiter, long now) {
    if (usePermit(account, waiter, now)) {
      if (account.runsLow(now)) {
        prefetch(account);
      }
    } else if (account.useFullReserve(now)) {
      admitFromReserve(waiter);
    } else if (account.isKnownEmpty(account.partFor(waiter), now)) {
      tryNextPart(account, waiter, account.emptyForMillis(account.partFor(waiter), now));
    } else {
      ask(account, waiter, now);
    }
  }

  private void ask(HolderAccount account, Waiter waiter, long now) {
    LimitPart part = account.partFor(waiter);
    Optional<VmId> owner = owners.ownerOf(part.resource());
    if (owner.isEmpty()) {
      admitOrRefuse(account, waiter, UNKNOWN_OWNER_RETRY_MILLIS, RefusalReason.OWNER_UNKNOWN);
    } else if (isSilent(owner.get(), now) && account.useReserve(now)) {
      admitFromReserve(waiter);
    } else if (account.await(waiter)) {
      outbox.want(owner.get(), account, part, delayTo(owner.get()));
    } else {
      admitOrRefuse(account, waiter, SILENT_OWNER_MILLIS, RefusalReason.OWNER_UNREACHABLE);
    }
  }

  /** Asks another part, if there is one that may have tokens, before the request is refused. */
  private void tryNextPart(HolderAccount account, Waiter waiter, long retryAfterMillis) {
    long now = time.nowMillis();
    boolean more = waiter.turnToNextPart(account.parts());
    if (more && !account.isKnownEmpty(account.partFor(waiter), now)) {
      ask(account, waiter, now);
    } else {
      admitOrRefuse(account, waiter, retryAfterMillis, RefusalReason.RATE_EXCEEDED);
    }
  }

  private void prefetch(HolderAccount account) {
    LimitPart part = account.homePart();
    owners
        .ownerOf(part.resource())
        .ifPresent(
            owner -> {
              account.prefetching(true);
              outbox.want(owner, account, part, delayTo(owner));
            });
  }

  private void send(VmId owner, PendingAsk ask) {
    tally.ask();
    if (!ask.wanted().isEmpty()) {
      pending.put(ask.ask().askId(), ask);
      if (!owner.equals(self)) {
        time.after(LimitTimes.ASK_TIMEOUT_MILLIS, () -> timeOut(ask));
      }
    }
    sender.accept(owner, ask.ask());
  }

  /** Takes in an owner's answer; one that matches no ask is counted and ignored. */
  void receive(VmId from, Answer answer) {
    PendingAsk ask = pending.get(answer.askId());
    if (ask == null || !ask.owner().equals(from) || ask.wanted().size() != answer.grants().size()) {
      tally.unexpected();
      return;
    }
    pending.remove(answer.askId());
    silentUntilMillis.remove(from);
    for (int i = 0; i < ask.wanted().size(); i++) {
      receive(ask, ask.wanted().get(i), answer.grants().get(i));
    }
  }

  private void receive(PendingAsk ask, PendingAsk.Wanted wanted, Grant grant) {
    HolderAccount account = wanted.account();
    account.prefetching(false);
    if (!grant.owned()
        || grant.tokens() > wanted.maxTokens()
        || grant.durationMillis() > LimitTimes.PERMIT_MILLIS) {
      wanted
          .waiters()
          .forEach(
              waiter ->
                  admitOrRefuse(
                      account, waiter, grant.retryAfterMillis(), RefusalReason.OWNER_UNREACHABLE));
      return;
    }
    account.scarce(grant.scarce());
    if (grant.tokens() > 0) {
      long until = ask.sentMillis() + grant.durationMillis();
      List<Long> asked = grant.counted().isEmpty() ? wanted.requests() : List.of();
      account.add(new Permit(grant.permitId(), ask.owner(), grant.tokens(), until, asked));
    }
    if (grant.retryAfterMillis() > 0) {
      account.knownEmptyUntil(wanted.part(), ask.sentMillis() + grant.retryAfterMillis());
    }
    decide(wanted, grant);
  }

  private void decide(PendingAsk.Wanted wanted, Grant grant) {
    long now = time.nowMillis();
    for (int i = 0; i < wanted.waiters().size(); i++) {
      Waiter waiter = wanted.waiters().get(i);
      if (waiter.isDecided()) {
        continue;
      }
      if (grant.counted().contains(i)) {
        admitRetry(waiter);
      } else if (!usePermit(wanted.account(), waiter, now)) {
        long retryAfter = Math.max(1, grant.retryAfterMillis());
        tryNextPart(wanted.account(), waiter, retryAfter);
      }
    }
  }

  private void timeOut(PendingAsk ask) {
    if (!pending.containsKey(ask.ask().askId())) {
      return;
    }
    silentUntilMillis.put(ask.owner(), time.nowMillis() + SILENT_OWNER_MILLIS);
    for (PendingAsk.Wanted wanted : ask.wanted()) {
      wanted.account().prefetching(false);
      wanted
          .waiters()
          .forEach(
              waiter ->
                  admitOrRefuse(
                      wanted.account(),
                      waiter,
                      SILENT_OWNER_MILLIS,
                      RefusalReason.OWNER_UNREACHABLE));
    }
  }

  /** Returns permits that end soon and forgets asks whose permits would be over. */
  void sweep() {
    returnPermits(LimitTimes.RETURN_MARGIN_MILLIS);
    long oldest = time.nowMillis() - LimitTimes.PERMIT_MILLIS;
    pending.values().removeIf(ask -> ask.sentMillis() < oldest);
    silentUntilMillis.values().removeIf(until -> until <= time.nowMillis());
  }

  /** Returns all permits at once. */
  void release() {
    returnPermits(Long.MAX_VALUE);
    outbox.flushAll();
  }

  /** Puts the reserves of the table in force; a new organisation's reserve starts empty. */
  void apply(LimitTable table) {
    long now = time.nowMillis();
    for (OrganisationId organisation : table.organisations()) {
      LimitShares shares = table.shares(organisation).orElseThrow();
      HolderAccount known = accounts.get(organisation);
      if (known == null) {
        int home = self.hashCode() ^ organisation.hashCode();
        accounts.put(organisation, new HolderAccount(organisation, shares, home, now));
      } else {
        known.change(shares, now);
      }
    }
    accounts.values().removeIf(account -> isRemoved(account, table, now));
  }

  private boolean isRemoved(HolderAccount account, LimitTable table, long now) {
    if (table.shares(account.organisation()).isPresent()) {
      return false;
    }
    close(account.removeEnding(Long.MAX_VALUE, now), LimitTimes.BATCH_DELAY_MILLIS);
    return true;
  }

  private void returnPermits(long marginMillis) {
    long now = time.nowMillis();
    for (HolderAccount account : accounts.values()) {
      close(account.removeEnding(marginMillis, now), LimitTimes.BATCH_DELAY_MILLIS);
    }
  }

  private boolean usePermit(HolderAccount account, Waiter waiter, long now) {
    List<Permit> closed = new ArrayList<>(1);
    boolean used = account.usePermit(waiter.request(), now, closed);
    close(
        closed, account.isScarce() ? LimitTimes.BATCH_DELAY_MILLIS : LimitTimes.CLOSE_DELAY_MILLIS);
    if (used) {
      admit(waiter, now);
    }
    return used;
  }

  private void close(List<Permit> permits, int delayMillis) {
    permits.forEach(permit -> outbox.close(permit.owner(), permit.close(), delayMillis));
  }

  private void admit(Waiter waiter, long now) {
    memory.remember(waiter.request(), now);
    tally.admitted();
    waiter.decide(new LimitDecision.Admitted(false));
  }

  private void admitRetry(Waiter waiter) {
    tally.retry();
    waiter.decide(new LimitDecision.Admitted(true));
  }

  private void admitFromReserve(Waiter waiter) {
    tally.fromReserve();
    admit(waiter, time.nowMillis());
  }

  private void admitOrRefuse(
      HolderAccount account, Waiter waiter, long retryAfterMillis, RefusalReason reason) {
    if (waiter.isDecided()) {
      return;
    }
    if (account.useReserve(time.nowMillis())) {
      admitFromReserve(waiter);
    } else {
      refuse(waiter, retryAfterMillis, reason);
    }
  }

  private void refuse(Waiter waiter, long retryAfterMillis, RefusalReason reason) {
    tally.refused();
    waiter.decide(new LimitDecision.Refused(retryAfterMillis, reason));
  }

  private boolean isSilent(VmId owner, long now) {
    return silentUntilMillis.getOrDefault(owner, Long.MIN_VALUE) > now;
  }

  private int delayTo(VmId owner) {
    return owner.equals(self) ? 0 : LimitTimes.BATCH_DELAY_MILLIS;
  }
}
