package org.ragworttide.coordination.limits;

import java.util.Collection;
import org.ragworttide.coordination.message.LimitMessage.Grant;
import org.ragworttide.coordination.time.TimerService;

/**
 * Asks the owners to go on leaving this VM's full reserves to it.
 *
 * <p>Invariant: at most {@link #MAX_A_SWEEP} are asked for at one time, so that the bytes spread
 * over time however many organisations there are. Not safe for use by several threads.
 */
final class ReserveConfirmations {
  private static final int MAX_A_SWEEP = 16;

  private final TimerService time;
  private final OwnerView owners;
  private final AskOutbox outbox;

  ReserveConfirmations(TimerService time, OwnerView owners, AskOutbox outbox) {
    this.time = time;
    this.owners = owners;
    this.outbox = outbox;
  }

  /** Asks for the confirmations that are due. */
  void sweep(Collection<HolderAccount> accounts) {
    long now = time.nowMillis();
    accounts.stream()
        .filter(account -> account.reserve().isDue(now))
        .limit(MAX_A_SWEEP)
        .forEach(account -> ask(account, now));
  }

  /** Takes in an owner's answer to an ask that was about to be sent at the given time. */
  void receive(HolderAccount account, long sentMillis, Grant grant) {
    if (grant.owned() && grant.durationMillis() <= LimitTimes.CONFIRMED_MILLIS) {
      long now = time.nowMillis();
      long until = sentMillis + grant.durationMillis();
      account.reserve().confirm(until, now + grant.retryAfterMillis(), grant.tokens(), now);
    }
  }

  private void ask(HolderAccount account, long now) {
    LimitPart part = LimitPart.confirmation(account.organisation());
    account.reserve().asked(now);
    owners
        .ownerOf(account.homePart().resource())
        .ifPresent(owner -> outbox.want(owner, account, part));
  }
}
