package org.ragworttide.coordination.limits;

/**
 * Splits an organisation's limit into equal parts for the owners and one reserve for each VM.
 *
 * <p>Invariants: the parts and {@code maxEntryVms} reserves together never exceed the limit,
 * neither in rate nor in burst. A reserve holds whole tokens; if the reserved share is less than
 * one token per VM, the owners have the whole limit. A limit is split only if a single owner would
 * have to answer too many asks, and never if reserves need a confirmation. Immutable, safe for use
 * by any thread.
 *
 * @param part the share that the owner of each part grants when every VM has its full reserve
 * @param parts the number of parts, positive
 * @param reserve the full reserve of each VM, which the owner has confirmed
 * @param unconfirmedReserve the reserve of each VM without a confirmation
 */
record LimitShares(RateLimit part, int parts, RateLimit reserve, RateLimit unconfirmedReserve) {
  static final int MAX_PARTS = 32;
  private static final double MAX_ASKS_PER_SECOND = 20;
  private static final double ASKS_PER_SECOND_PER_VM = 2;
  private static final double MIN_BURST_PER_PART = 10;

  static LimitShares of(RateLimit limit, LimitSettings settings) {
    int vms = settings.maxEntryVms();
    RateLimit unconfirmed = reserve(limit, settings.reserveShare(), vms);
    RateLimit full = reserve(limit, settings.confirmedShare(), vms);
    RateLimit owners =
        new RateLimit(
            limit.ratePerSecond() - full.ratePerSecond() * vms, limit.burst() - full.burst() * vms);
    int parts = full.equals(unconfirmed) ? parts(owners, vms) : 1;
    RateLimit part = new RateLimit(owners.ratePerSecond() / parts, owners.burst() / parts);
    return new LimitShares(part, parts, full, unconfirmed);
  }

  /** Returns whether the full reserve exceeds the one without a confirmation. */
  boolean isConfirmable() {
    return !reserve.equals(unconfirmedReserve);
  }

  /**
   * Returns the share that the owner grants when the given number of VMs have the unconfirmed
   * reserve.
   */
  RateLimit partWithUnconfirmed(int unconfirmedVms) {
    double rate = reserve.ratePerSecond() - unconfirmedReserve.ratePerSecond();
    double burst = reserve.burst() - unconfirmedReserve.burst();
    return new RateLimit(
        part.ratePerSecond() + unconfirmedVms * rate, part.burst() + unconfirmedVms * burst);
  }

  private static RateLimit reserve(RateLimit limit, double share, int vms) {
    double burst = Math.floor(limit.burst() * share / vms);
    return burst < 1 ? RateLimit.ZERO : new RateLimit(limit.ratePerSecond() * share / vms, burst);
  }

  private static int parts(RateLimit owners, int vms) {
    double asks = Math.min(owners.ratePerSecond(), vms * ASKS_PER_SECOND_PER_VM);
    double wanted = Math.ceil(asks / MAX_ASKS_PER_SECOND);
    double possible = Math.floor(owners.burst() / MIN_BURST_PER_PART);
    return (int) Math.max(1, Math.min(MAX_PARTS, Math.min(wanted, possible)));
  }
}
