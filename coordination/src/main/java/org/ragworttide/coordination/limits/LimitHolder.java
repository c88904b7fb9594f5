package org.ragworttide.coordination.limits;

import java.util.List;
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
 * each request is decided once, within {@link LimitTimes#ASK_TIMEOUT_MILLIS} of its last ask, of
 * which there are few. Not safe for use by several threads.
 */
final class LimitHolder {
  private static final int UNKNOWN_OWNER_RETRY_MILLIS = 500;
  private static final LimitDecision.Refused UNKNOWN_ORGANISATION =
      new LimitDecision.Refused(5_000, RefusalReason.UNKNOWN_ORGANISATION);

  private static final LimitDecision.Refused UNREACHABLE =
      new LimitDecision.Refused(LimitPeers.SILENT_MILLIS, RefusalReason.OWNER_UNREACHABLE);

  private final VmId self;
  private final TimerService time;
  private final OwnerView owners;
  private final LimitVerdicts verdicts;
  private final LimitTally tally;
  private final AskOutbox outbox;
  private final HolderAccounts accounts;
  private final ReserveConfirmations confirmations;
  private final PermitUse permits;
  private final PendingAsks pending = new PendingAsks();
  private final LimitPeers peers;
  private final CountedNotices notices;
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
    this.tally = tally;
    this.peers = new LimitPeers(self, settings);
    this.outbox = new AskOutbox(self, time, firstAskId, this::send);
    this.notices = new CountedNotices(time, peers, outbox);
    this.verdicts = new LimitVerdicts(time, tally, settings.retryWindowMillis(), notices);
    this.permits = new PermitUse(outbox, verdicts);
    this.accounts = new HolderAccounts(self, time, outbox);
    this.confirmations = new ReserveConfirmations(time, owners, outbox);
  }

  void sendWith(BiConsumer<VmId, Ask> newSender) {
    this.sender = newSender;
  }

  /** Puts the reserves of the table in force. */
  void apply(LimitTable table) {
    accounts.apply(table);
  }

  void peers(List<VmId> vms) {
    peers.replace(vms);
  }

  /** Returns this VM's reserve of an organisation, from which peers may borrow. */
  Optional<Reserve> reserve(OrganisationId organisation) {
    return account(organisation).map(HolderAccount::reserve);
  }

  Optional<HolderAccount> account(OrganisationId organisation) {
    return accounts.find(organisation);
  }

  void acquire(OrganisationId organisation, long request, Consumer<LimitDecision> decision) {
    Waiter waiter = new Waiter(request, decision);
    HolderAccount account = accounts.find(organisation).orElse(null);
    long now = time.nowMillis();
    if (account == null) {
      verdicts.refuse(waiter, UNKNOWN_ORGANISATION);
    } else if (verdicts.useRetry(request)) {
      verdicts.admitRetry(waiter);
    } else {
      account.demand().record(now);
      acquire(account, waiter, now);
    }
  }

  private void acquire(HolderAccount account, Waiter waiter, long now) {
    if (permits.use(account, waiter, now)) {
      if (account.runsLow(now)) {
        prefetch(account);
      }
    } else if (account.reserve().isOverflowing(now) && account.reserve().use(now)) {
      verdicts.admitFromReserve(waiter);
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
    } else if (peers.isSilent(owner.get(), now) && account.reserve().exists()) {
      admitOrRefuse(account, waiter, LimitPeers.SILENT_MILLIS, RefusalReason.OWNER_UNREACHABLE);
    } else {
      await(account, waiter, part, owner.get());
    }
  }

  private void await(HolderAccount account, Waiter waiter, LimitPart part, VmId asked) {
    if (account.await(waiter)) {
      outbox.want(asked, account, part);
    } else {
      admitOrGiveUp(account, waiter);
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
              outbox.want(owner, account, part);
            });
  }

  private void send(VmId owner, PendingAsk ask) {
    tally.ask();
    if (!ask.wanted().isEmpty()) {
      pending.add(ask);
      if (!owner.equals(self)) {
        time.after(LimitTimes.ASK_TIMEOUT_MILLIS, () -> timeOut(ask));
      }
    }
    sender.accept(owner, ask.ask());
  }

  /** Takes in what a peer tells of the requests that it has counted. */
  void receiveNotices(Ask ask) {
    verdicts.countedElsewhere(CountedNotices.requestsOf(ask));
  }

  /** Takes in an owner's answer; one that matches no ask is counted and ignored. */
  void receive(VmId from, Answer answer) {
    Optional<PendingAsk> found = pending.take(from, answer);
    if (found.isEmpty()) {
      tally.unexpected();
      return;
    }
    peers.heard(from);
    PendingAsk ask = found.get();
    for (int i = 0; i < ask.wanted().size(); i++) {
      receive(ask, ask.wanted().get(i), answer.grants().get(i));
    }
  }

  private void receive(PendingAsk ask, PendingAsk.Wanted wanted, Grant grant) {
    HolderAccount account = wanted.account();
    if (wanted.part().isConfirmation()) {
      confirmations.receive(account, ask.sentMillis(), grant);
      return;
    }
    account.prefetching(false);
    if (!grant.owned()
        || grant.tokens() > wanted.maxTokens()
        || grant.durationMillis() > LimitTimes.PERMIT_MILLIS) {
      serveOtherwise(ask, wanted, grant.retryAfterMillis());
      return;
    }
    if (!wanted.part().isReserve()) {
      account.scarce(grant.scarce());
    }
    if (grant.tokens() > 0) {
      long until = ask.sentMillis() + grant.durationMillis();
      List<Long> asked = grant.counted().isEmpty() ? wanted.requests() : List.of();
      account.add(new Permit(grant.permitId(), ask.owner(), grant.tokens(), until, asked));
    }
    if (grant.retryAfterMillis() > 0) {
      account.emptyUntil(wanted.part(), ask.owner(), ask.sentMillis() + grant.retryAfterMillis());
    }
    decide(wanted, grant);
  }

  /** Decides requests whose owner or lender has nothing to do with their organisation. */
  private void serveOtherwise(PendingAsk ask, PendingAsk.Wanted wanted, int retryAfterMillis) {
    HolderAccount account = wanted.account();
    if (wanted.part().isReserve()) {
      account.emptyUntil(wanted.part(), ask.owner(), ask.sentMillis() + retryAfterMillis);
    }
    for (Waiter waiter : wanted.waiters()) {
      admitOrRefuse(account, waiter, retryAfterMillis, RefusalReason.OWNER_UNREACHABLE);
    }
  }

  private void decide(PendingAsk.Wanted wanted, Grant grant) {
    long now = time.nowMillis();
    for (int i = 0; i < wanted.waiters().size(); i++) {
      Waiter waiter = wanted.waiters().get(i);
      if (waiter.isDecided()) {
        continue;
      }
      if (grant.counted().contains(i)) {
        verdicts.admitRetry(waiter);
      } else if (!permits.use(wanted.account(), waiter, now)) {
        long retryAfter = Math.max(1, grant.retryAfterMillis());
        if (wanted.part().isReserve()) {
          admitOrRefuse(wanted.account(), waiter, retryAfter, RefusalReason.RATE_EXCEEDED);
        } else {
          tryNextPart(wanted.account(), waiter, retryAfter);
        }
      }
    }
  }

  private void timeOut(PendingAsk ask) {
    if (!pending.isOpen(ask)) {
      return;
    }
    peers.silent(ask.owner(), time.nowMillis());
    for (PendingAsk.Wanted wanted : ask.wanted()) {
      wanted.account().prefetching(false);
      wanted.waiters().forEach(waiter -> admitOrGiveUp(wanted.account(), waiter));
    }
  }

  /** Decides a request that has waited for an answer in vain; it asks nobody else. */
  private void admitOrGiveUp(HolderAccount account, Waiter waiter) {
    if (waiter.isDecided()) {
      return;
    }
    if (account.reserve().use(time.nowMillis())) {
      verdicts.admitFromReserve(waiter);
    } else {
      verdicts.refuse(waiter, UNREACHABLE);
    }
  }

  /** Returns permits that end soon and forgets asks whose permits would be over. */
  void sweep() {
    accounts.returnPermits(LimitTimes.RETURN_MARGIN_MILLIS);
    pending.forgetBefore(time.nowMillis() - LimitTimes.PERMIT_MILLIS);
    peers.sweep(time.nowMillis());
    accounts.settleReserves();
    confirmations.sweep(accounts.all());
  }

  /** Returns all permits at once. */
  void release() {
    notices.flush();
    accounts.returnPermits(Long.MAX_VALUE);
    outbox.flushAll();
  }

  private void admitOrRefuse(
      HolderAccount account, Waiter waiter, long retryAfterMillis, RefusalReason reason) {
    if (waiter.isDecided()) {
      return;
    }
    long now = time.nowMillis();
    if (account.reserve().use(now)) {
      verdicts.admitFromReserve(waiter);
    } else {
      borrowOrRefuse(account, waiter, new LimitDecision.Refused(retryAfterMillis, reason));
    }
  }

  private void borrowOrRefuse(HolderAccount account, Waiter waiter, LimitDecision.Refused refusal) {
    Optional<VmId> lender = peers.lender(account, waiter, time.nowMillis());
    if (lender.isPresent() && waiter.mayBorrow()) {
      waiter.keep(refusal);
      waiter.turnTo(lender.get());
      await(account, waiter, account.partFor(waiter), lender.get());
    } else {
      verdicts.refuse(waiter, refusal);
    }
  }
}
