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
 * Admits requests on this VM using permits of the owners and the VM's own reserves.
 *
 * <p>Invariants: a request that is admitted and counted uses a token that was debited, before the
 * admission, from the bucket of an owner or of a reserve. Each request is decided once, within
 * {@link LimitTimes#ASK_TIMEOUT_MILLIS} of its last ask, and the number of its asks is bounded. Not
 * safe for use by several threads.
 */
final class LimitHolder {
  private static final int UNKNOWN_OWNER_RETRY_MILLIS = 500;
  private static final LimitDecision.Refused UNKNOWN_ORGANISATION =
      new LimitDecision.Refused(5_000, RefusalReason.UNKNOWN_ORGANISATION);

  private static final LimitDecision.Refused UNREACHABLE =
      new LimitDecision.Refused(LimitPeers.UNRESPONSIVE_MILLIS, RefusalReason.OWNER_UNREACHABLE);

  private final VmId self;
  private final TimerService time;
  private final OwnerView owners;
  private final DecisionRecorder decisions;
  private final LimitEventCounter eventCounter;
  private final AskOutbox outbox;
  private final HolderAccounts accounts;
  private final ReserveConfirmations confirmations;
  private final PermitAdmission permits;
  private final PendingAsks pending = new PendingAsks();
  private final LimitPeers peers;
  private final CountedRequestNotifier notifier;
  private BiConsumer<VmId, Ask> sender = (owner, ask) -> {};

  LimitHolder(
      VmId self,
      TimerService time,
      OwnerView owners,
      LimitSettings settings,
      LimitEventCounter eventCounter,
      long firstAskId) {
    this.self = self;
    this.time = time;
    this.owners = owners;
    this.eventCounter = eventCounter;
    this.peers = new LimitPeers(self, settings);
    this.outbox = new AskOutbox(self, time, firstAskId, this::send);
    this.notifier = new CountedRequestNotifier(time, peers, outbox);
    this.decisions =
        new DecisionRecorder(time, eventCounter, settings.retryWindowMillis(), notifier);
    this.permits = new PermitAdmission(outbox, decisions);
    this.accounts = new HolderAccounts(self, time, outbox);
    this.confirmations = new ReserveConfirmations(time, owners, outbox);
  }

  void setSender(BiConsumer<VmId, Ask> newSender) {
    this.sender = newSender;
  }

  /** Applies the shares of the table. */
  void apply(LimitTable table) {
    accounts.apply(table);
  }

  void replacePeers(List<VmId> vms) {
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
      decisions.refuse(waiter, UNKNOWN_ORGANISATION);
    } else if (decisions.tryUseRetry(request)) {
      decisions.admitRetry(waiter);
    } else {
      account.demand().record(now);
      acquire(account, waiter, now);
    }
  }

  private void acquire(HolderAccount account, Waiter waiter, long now) {
    if (permits.tryUse(account, waiter, now)) {
      if (account.isRunningLow(now)) {
        prefetch(account);
      }
    } else if (account.reserve().isOverflowing(now) && account.reserve().tryUse(now)) {
      decisions.admitFromReserve(waiter);
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
    } else if (peers.isUnresponsive(owner.get(), now) && account.reserve().isConfigured()) {
      admitOrRefuse(
          account, waiter, LimitPeers.UNRESPONSIVE_MILLIS, RefusalReason.OWNER_UNREACHABLE);
    } else {
      enqueue(account, waiter, part, owner.get());
    }
  }

  private void enqueue(HolderAccount account, Waiter waiter, LimitPart part, VmId queried) {
    if (account.addWaiting(waiter)) {
      outbox.addWant(queried, account, part);
    } else {
      admitOrRefuseUnreachable(account, waiter);
    }
  }

  /** Requests a token from another part that may have one; otherwise decides the request. */
  private void tryNextPart(HolderAccount account, Waiter waiter, long retryAfterMillis) {
    long now = time.nowMillis();
    boolean hasNext = waiter.selectNextPart(account.parts());
    if (hasNext && !account.isKnownEmpty(account.partFor(waiter), now)) {
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
              account.setPrefetching(true);
              outbox.addWant(owner, account, part);
            });
  }

  private void send(VmId owner, PendingAsk ask) {
    eventCounter.countAsk();
    if (!ask.wanted().isEmpty()) {
      pending.add(ask);
      if (!owner.equals(self)) {
        time.after(LimitTimes.ASK_TIMEOUT_MILLIS, () -> handleTimeout(ask));
      }
    }
    sender.accept(owner, ask.ask());
  }

  /** Records the requests that a peer reports as counted. */
  void recordCountedByPeer(Ask ask) {
    decisions.recordCountedByPeer(CountedRequestNotifier.requestsOf(ask));
  }

  /** Handles the answer to an ask; an answer that matches no ask is counted and ignored. */
  void receive(VmId from, Answer answer) {
    Optional<PendingAsk> found = pending.take(from, answer);
    if (found.isEmpty()) {
      eventCounter.countUnexpected();
      return;
    }
    peers.recordAnswer(from);
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
    account.setPrefetching(false);
    if (!grant.owned()
        || grant.tokens() > wanted.maxTokens()
        || grant.durationMillis() > LimitTimes.PERMIT_MILLIS) {
      decideWithoutGrant(ask, wanted, grant.retryAfterMillis());
      return;
    }
    if (!wanted.part().isReserve()) {
      account.setScarce(grant.scarce());
    }
    if (grant.tokens() > 0) {
      long expiresAt = ask.sentMillis() + grant.durationMillis();
      List<Long> askedRequests = grant.counted().isEmpty() ? wanted.requests() : List.of();
      account.add(
          new Permit(grant.permitId(), ask.owner(), grant.tokens(), expiresAt, askedRequests));
    }
    if (grant.retryAfterMillis() > 0) {
      account.recordEmptyUntil(
          wanted.part(), ask.owner(), ask.sentMillis() + grant.retryAfterMillis());
    }
    decide(wanted, grant);
  }

  /** Decides requests when the queried VM is not the owner or sent an invalid grant. */
  private void decideWithoutGrant(PendingAsk ask, PendingAsk.Wanted wanted, int retryAfterMillis) {
    HolderAccount account = wanted.account();
    if (wanted.part().isReserve()) {
      account.recordEmptyUntil(wanted.part(), ask.owner(), ask.sentMillis() + retryAfterMillis);
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
        decisions.admitRetry(waiter);
      } else if (!permits.tryUse(wanted.account(), waiter, now)) {
        long retryAfter = Math.max(1, grant.retryAfterMillis());
        if (wanted.part().isReserve()) {
          admitOrRefuse(wanted.account(), waiter, retryAfter, RefusalReason.RATE_EXCEEDED);
        } else {
          tryNextPart(wanted.account(), waiter, retryAfter);
        }
      }
    }
  }

  private void handleTimeout(PendingAsk ask) {
    if (!pending.isPending(ask)) {
      return;
    }
    peers.recordTimeout(ask.owner(), time.nowMillis());
    for (PendingAsk.Wanted wanted : ask.wanted()) {
      wanted.account().setPrefetching(false);
      wanted.waiters().forEach(waiter -> admitOrRefuseUnreachable(wanted.account(), waiter));
    }
  }

  /**
   * Decides a request whose ask has not been answered or could not be queued, without a further
   * ask.
   */
  private void admitOrRefuseUnreachable(HolderAccount account, Waiter waiter) {
    if (waiter.isDecided()) {
      return;
    }
    if (account.reserve().tryUse(time.nowMillis())) {
      decisions.admitFromReserve(waiter);
    } else {
      decisions.refuse(waiter, UNREACHABLE);
    }
  }

  /**
   * Returns permits that expire soon to their owners, removes pending asks whose permits would have
   * expired, and requests the confirmations of reserves that are due.
   */
  void sweep() {
    accounts.returnPermits(LimitTimes.RETURN_MARGIN_MILLIS);
    pending.removeSentBefore(time.nowMillis() - LimitTimes.PERMIT_MILLIS);
    peers.sweep(time.nowMillis());
    accounts.settleReserves();
    confirmations.sweep(accounts.all());
  }

  /** Returns all permits to their owners and sends all collected asks now. */
  void returnTokens() {
    notifier.flush();
    accounts.returnPermits(Long.MAX_VALUE);
    outbox.flushAll();
  }

  private void admitOrRefuse(
      HolderAccount account, Waiter waiter, long retryAfterMillis, RefusalReason reason) {
    if (waiter.isDecided()) {
      return;
    }
    long now = time.nowMillis();
    if (account.reserve().tryUse(now)) {
      decisions.admitFromReserve(waiter);
    } else {
      borrowOrRefuse(account, waiter, new LimitDecision.Refused(retryAfterMillis, reason));
    }
  }

  private void borrowOrRefuse(HolderAccount account, Waiter waiter, LimitDecision.Refused refusal) {
    Optional<VmId> lender = peers.findLender(account, waiter, time.nowMillis());
    if (lender.isPresent() && waiter.canBorrow()) {
      waiter.recordRefusal(refusal);
      waiter.selectLender(lender.get());
      enqueue(account, waiter, account.partFor(waiter), lender.get());
    } else {
      decisions.refuse(waiter, refusal);
    }
  }
}
