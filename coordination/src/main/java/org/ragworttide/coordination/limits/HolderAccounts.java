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
 * Accounts of this VM as a holder of permits, one for each organisation that has a limit.
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

  /** Applies the shares of the table; the reserve of a new organisation starts empty. */
  void apply(LimitTable table) {
    long now = time.nowMillis();
    for (OrganisationId organisation : table.organisations()) {
      LimitShares shares = table.shares(organisation).orElseThrow();
      HolderAccount existing = accounts.get(organisation);
      if (existing == null) {
        int homeIndex = self.hashCode() ^ organisation.hashCode();
        accounts.put(organisation, new HolderAccount(organisation, shares, homeIndex, now));
      } else {
        existing.change(shares, now);
      }
    }
    accounts.values().removeIf(account -> closeIfRemoved(account, table));
  }

  /** Returns to their owners the permits that expire within the margin. */
  void returnPermits(long marginMillis) {
    accounts.values().forEach(account -> close(account, marginMillis));
  }

  /** Updates all reserves to the present time, which removes lent permits that have expired. */
  void settleReserves() {
    long now = time.nowMillis();
    for (HolderAccount account : accounts.values()) {
      if (account.reserve().changesOverTime()) {
        account.reserve().settle(now);
      }
    }
  }

  private boolean closeIfRemoved(HolderAccount account, LimitTable table) {
    if (table.shares(account.organisation()).isPresent()) {
      return false;
    }
    close(account, Long.MAX_VALUE);
    return true;
  }

  private void close(HolderAccount account, long marginMillis) {
    List<Permit> expiring = account.removeExpiring(marginMillis, time.nowMillis());
    expiring.forEach(
        permit -> outbox.addClose(permit.owner(), permit.close(), LimitTimes.BATCH_DELAY_MILLIS));
  }
}
