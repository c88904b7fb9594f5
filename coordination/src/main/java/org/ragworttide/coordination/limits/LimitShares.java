package org.ragworttide.coordination.limits;

/**
 * Splits an organisation's limit into equal parts of the owners and one fixed reserve for each VM.
 *
 * <p>Invariants: the parts and {@code maxEntryVms} reserves together never exceed the limit,
 * neither in rate nor in burst. A reserve holds whole tokens; where not even one token a VM fits
 * into the reserved part, the owners have all of it. Limits are split only where one owner would
 * have to answer too many asks. Immutable, safe for use by any thread.
 *
 * @param part what the owner of each part hands out
 * @param parts how many parts there are, positive
 * @param reserve what each VM admits alone
 */
record LimitShares(RateLimit part, int parts, RateLimit reserve) {
  private static final double MAX_ASKS_PER_SECOND = 20;
  private static final double ASKS_PER_SECOND_OF_VM = 2;
  private static final double MIN_BURST_OF_PART = 10;
  private static final int MAX_PARTS = 32;

  static LimitShares of(RateLimit limit, LimitSettings settings) {
    int vms = settings.maxEntryVms();
    double reserveBurst = Math.floor(limit.burst() * settings.reserveShare() / vms);
    if (reserveBurst < 1) {
      return split(limit, vms, RateLimit.NOTHING);
    }
    double reserveRate = limit.ratePerSecond() * settings.reserveShare() / vms;
    RateLimit owners =
        new RateLimit(
            limit.ratePerSecond() * (1 - settings.reserveShare()),
            limit.burst() - reserveBurst * vms);
    return split(owners, vms, new RateLimit(reserveRate, reserveBurst));
  }

  private static LimitShares split(RateLimit owners, int vms, RateLimit reserve) {
    double asks = Math.min(owners.ratePerSecond(), vms * ASKS_PER_SECOND_OF_VM);
    double wanted = Math.ceil(asks / MAX_ASKS_PER_SECOND);
    double possible = Math.floor(owners.burst() / MIN_BURST_OF_PART);
    int parts = (int) Math.max(1, Math.min(MAX_PARTS, Math.min(wanted, possible)));
    RateLimit part = new RateLimit(owners.ratePerSecond() / parts, owners.burst() / parts);
    return new LimitShares(part, parts, reserve);
  }
}
