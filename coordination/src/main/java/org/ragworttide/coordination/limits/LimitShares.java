package org.ragworttide.coordination.limits;

/**
 * Splits an organisation's limit into equal parts of the owners and one reserve for each VM.
 *
 * <p>Invariants: the parts and {@code maxEntryVms} reserves together never exceed the limit,
 * neither in rate nor in burst. A reserve holds whole tokens; where not even one token a VM fits
 * into the reserved part, the owners have all of it. Limits are split only where one owner would
 * have to answer too many asks, and never where reserves need a confirmation. Immutable, safe for
 * use by any thread.
 *
 * @param part what the owner of each part hands out when every VM has its reserve
 * @param parts how many parts there are, positive
 * @param reserve what each VM has that the owner has confirmed
 * @param leastReserve what each VM has without a confirmation
 */
record LimitShares(RateLimit part, int parts, RateLimit reserve, RateLimit leastReserve) {
  static final int MAX_PARTS = 32;
  private static final double MAX_ASKS_PER_SECOND = 20;
  private static final double ASKS_PER_SECOND_OF_VM = 2;
  private static final double MIN_BURST_OF_PART = 10;

  static LimitShares of(RateLimit limit, LimitSettings settings) {
    int vms = settings.maxEntryVms();
    RateLimit least = reserve(limit, settings.reserveShare(), vms);
    RateLimit full = reserve(limit, settings.confirmedShare(), vms);
    RateLimit owners =
        new RateLimit(
            limit.ratePerSecond() - full.ratePerSecond() * vms, limit.burst() - full.burst() * vms);
    int parts = full.equals(least) ? parts(owners, vms) : 1;
    RateLimit part = new RateLimit(owners.ratePerSecond() / parts, owners.burst() / parts);
    return new LimitShares(part, parts, full, least);
  }

  /** Returns whether a VM has more with a confirmation than without. */
  boolean isConfirmable() {
    return !reserve.equals(leastReserve);
  }

  /** Returns what the owner hands out when the given number of VMs have the least reserve. */
  RateLimit partWithout(int unconfirmedVms) {
    double rate = reserve.ratePerSecond() - leastReserve.ratePerSecond();
    double burst = reserve.burst() - leastReserve.burst();
    return new RateLimit(
        part.ratePerSecond() + unconfirmedVms * rate, part.burst() + unconfirmedVms * burst);
  }

  private static RateLimit reserve(RateLimit limit, double share, int vms) {
    double burst = Math.floor(limit.burst() * share / vms);
    return burst < 1
        ? RateLimit.NOTHING
        : new RateLimit(limit.ratePerSecond() * share / vms, burst);
  }

  private static int parts(RateLimit owners, int vms) {
    double asks = Math.min(owners.ratePerSecond(), vms * ASKS_PER_SECOND_OF_VM);
    double wanted = Math.ceil(asks / MAX_ASKS_PER_SECOND);
    double possible = Math.floor(owners.burst() / MIN_BURST_OF_PART);
    return (int) Math.max(1, Math.min(MAX_PARTS, Math.min(wanted, possible)));
  }
}
