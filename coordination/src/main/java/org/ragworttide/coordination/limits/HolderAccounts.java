package org.ragworttide.coordination.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.time.TimerService;

/**
 * The accounts of all organisations that have a limit, on the side of the holder.
 *
 * <p>Invariant: the permits of an organisation that is removed are closed. Not safe for use by
 * several threads.
 */
final class HolderAccounts {
  private final VmId self;
  private final TimerService time;
  private final AskOutbox outbox;
  private final Map<OrganisationId, HolderAccount> accounts = new HashMap<>();

  HolderAccounts(VmId self, TimerService time, AskOutbox outbox) {
    this.self = self;
    this.time = time;
    this.outbox = outbox;
  }

  Optional<HolderAccount> find(OrganisationId organisation) {
    return Optional.ofNullable(accounts.get(organisation));
  }

  Collection<HolderAccount> all() {
    return accounts.values();
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
    accounts.values().removeIf(account -> isRemoved(account, table));
  }

  /** Returns the permits that end within the margin to their owners. */
  void returnPermits(long marginMillis) {
    accounts.values().forEach(account -> close(account, marginMillis));
  }

  /** Brings all reserves up to now, so that lent permits that are over are forgotten. */
  void settleReserves() {
    long now = time.nowMillis();
    for (HolderAccount account : accounts.values()) {
      if (account.reserve().changesAlone()) {
        account.reserve().settle(now);
      }
    }
  }

  private boolean isRemoved(HolderAccount account, LimitTable table) {
    if (table.shares(account.organisation()).isPresent()) {
      return false;
    }
    close(account, Long.MAX_VALUE);
    return true;
  }

  private void close(HolderAccount account, long marginMillis) {
    List<Permit> ending = account.removeEnding(marginMillis, time.nowMillis());
    ending.forEach(
        permit -> outbox.close(permit.owner(), permit.close(), LimitTimes.BATCH_DELAY_MILLIS));
  }
}
