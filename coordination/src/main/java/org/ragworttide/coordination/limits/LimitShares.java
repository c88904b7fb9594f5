package org.ragworttide.coordination.limits;

/**
 * Splits an organisation's limit into the owner's share and one fixed reserve for each VM.
 *
 * <p>Invariant: the owner's share and {@code maxEntryVms} reserves together never exceed the limit,
 * neither in rate nor in burst. A reserve holds whole tokens; where not even one token a VM fits
 * into the reserved part, the owner has all of it. Immutable, safe for use by any thread.
 *
 * @param owner what the owner hands out
 * @param reserve what each VM admits alone
 */
record LimitShares(RateLimit owner, RateLimit reserve) {

  static LimitShares of(RateLimit limit, LimitSettings settings) {
    int vms = settings.maxEntryVms();
    double reserveBurst = Math.floor(limit.burst() * settings.reserveShare() / vms);
    if (reserveBurst < 1) {
      return new LimitShares(limit, RateLimit.NOTHING);
    }
    double reserveRate = limit.ratePerSecond() * settings.reserveShare() / vms;
    RateLimit owner =
        new RateLimit(
            limit.ratePerSecond() * (1 - settings.reserveShare()),
            limit.burst() - reserveBurst * vms);
    return new LimitShares(owner, new RateLimit(reserveRate, reserveBurst));
  }
}
