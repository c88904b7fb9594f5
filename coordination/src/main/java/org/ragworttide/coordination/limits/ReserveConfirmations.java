package org.ragworttide.coordination.limits;

import java.util.Collection;
import org.ragworttide.coordination.message.LimitMessage.Grant;
import org.ragworttide.coordination.time.TimerService;

/**
 * Requests and renews the confirmations of this VM's full reserves from the owners.
 *
 * <p>Invariant: at most {@link #MAX_ASKS_PER_SWEEP} confirmations are requested per sweep, so that
 * the traffic is spread over time regardless of the number of organisations. Not safe for use by
 * several threads.
 */
final class ReserveConfirmations {
  private static final int MAX_ASKS_PER_SWEEP = 16;

  private final TimerService time;
  private final OwnerView owners;
  private final AskOutbox outbox;

  ReserveConfirmations(TimerService time, OwnerView owners, AskOutbox outbox) {
    this.time = time;
    this.owners = owners;
    this.outbox = outbox;
  }

  /** Requests the confirmations that are due. */
  void sweep(Collection<HolderAccount> accounts) {
    long now = time.nowMillis();
    accounts.stream()
        .filter(account -> account.reserve().isConfirmationDue(now))
        .limit(MAX_ASKS_PER_SWEEP)
        .forEach(account -> ask(account, now));
  }

  /** Handles an owner's answer to an ask that was sent just after the given time. */
  void receive(HolderAccount account, long sentMillis, Grant grant) {
    if (grant.owned() && grant.durationMillis() <= LimitTimes.CONFIRMED_MILLIS) {
      long now = time.nowMillis();
      long expiresAt = sentMillis + grant.durationMillis();
      account.reserve().confirm(expiresAt, now + grant.retryAfterMillis(), grant.tokens(), now);
    }
  }

  private void ask(HolderAccount account, long now) {
    LimitPart part = LimitPart.confirmation(account.organisation());
    account.reserve().recordAsk(now);
    owners
        .ownerOf(account.homePart().resource())
        .ifPresent(owner -> outbox.addWant(owner, account, part));
  }
}
