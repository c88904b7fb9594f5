package org.ragworttide.coordination.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;

/**
 * Permits, reserve and waiting requests of one organisation on this VM.
 *
 * <p>Not safe for use by several threads.
 */
final class HolderAccount {
  private static final int PREFETCH_MILLIS = 500;
  private static final int MAX_SPARE_TOKENS = 64;
  private static final int MAX_WAITING = 1_024;

  private final OrganisationId organisation;
  private final Reserve reserve;
  private final DemandRate demand;
  private final Deque<Permit> permits = new ArrayDeque<>(2);
  private final Deque<Waiter> waiting = new ArrayDeque<>(2);
  private final Map<VmId, Long> lendersEmptyUntilMillis = new HashMap<>(2);
  private final int homeIndex;
  private long[] emptyUntilMillis;
  private boolean prefetching;
  private boolean scarce;

  HolderAccount(OrganisationId organisation, LimitShares shares, int homeIndex, long startMillis) {
    this.organisation = organisation;
    this.reserve = new Reserve(shares, startMillis);
    this.emptyUntilMillis = filled(shares.parts(), startMillis);
    this.homeIndex = homeIndex;
    this.demand = new DemandRate(startMillis);
  }

  /** Applies changed shares. */
  void change(LimitShares shares, long nowMillis) {
    reserve.change(shares, nowMillis);
    if (shares.parts() != emptyUntilMillis.length) {
      emptyUntilMillis = filled(shares.parts(), nowMillis);
    }
  }

  int parts() {
    return emptyUntilMillis.length;
  }

  /** Returns the part from which this VM prefetches tokens. */
  LimitPart homePart() {
    return new LimitPart(organisation, Math.floorMod(homeIndex, parts()));
  }

  /** Returns the part from which a token is requested for a waiting request. */
  LimitPart partFor(Waiter waiter) {
    return waiter.lender().isPresent()
        ? LimitPart.reserve(organisation)
        : new LimitPart(organisation, waiter.partIndex(parts()));
  }

  OrganisationId organisation() {
    return organisation;
  }

  Reserve reserve() {
    return reserve;
  }

  DemandRate demand() {
    return demand;
  }

  /**
   * Uses a token of a permit and returns whether there was one; exhausted and expired permits are
   * added to the closed list.
   */
  boolean tryUsePermit(long request, long nowMillis, List<Permit> closed) {
    while (!permits.isEmpty()) {
      Permit first = permits.peekFirst();
      boolean used = first.tryUse(request, nowMillis);
      if (!used || first.isExhausted()) {
        closed.add(permits.removeFirst());
      }
      if (used) {
        return true;
      }
    }
    return false;
  }

  void add(Permit permit) {
    permits.addLast(permit);
  }

  /**
   * Removes and returns the permits that expire within the margin; the largest margin removes all
   * permits.
   */
  List<Permit> removeExpiring(long marginMillis, long nowMillis) {
    List<Permit> expiring = new ArrayList<>(0);
    permits.removeIf(
        permit -> permit.expiresWithin(marginMillis, nowMillis) && expiring.add(permit));
    return expiring;
  }

  long heldTokens(long nowMillis) {
    return permits.stream().mapToInt(permit -> permit.remainingTokens(nowMillis)).sum();
  }

  /**
   * Returns how many tokens to request from a part in addition to those for the waiting requests.
   */
  int spareTokens(LimitPart part, long nowMillis) {
    boolean canPrefetch = part.isReserve() || part.equals(homePart());
    if (!canPrefetch || isKnownEmpty(part, nowMillis)) {
      return 0;
    }
    int expected = demand.expectedWithin(PREFETCH_MILLIS, nowMillis);
    long missing = Math.min(MAX_SPARE_TOKENS, expected) - heldTokens(nowMillis);
    return (int) Math.max(0, missing);
  }

  /** Returns whether tokens should be prefetched because the held ones will soon be used up. */
  boolean isRunningLow(long nowMillis) {
    int expected = demand.expectedWithin(PREFETCH_MILLIS, nowMillis);
    return !prefetching
        && !isKnownEmpty(homePart(), nowMillis)
        && expected >= 2
        && heldTokens(nowMillis) * 2 < Math.min(MAX_SPARE_TOKENS, expected);
  }

  void setPrefetching(boolean value) {
    prefetching = value;
  }

  void setScarce(boolean value) {
    scarce = value;
  }

  boolean isScarce() {
    return scarce;
  }

  /** Adds a waiting request; returns false if the queue is full. */
  boolean addWaiting(Waiter waiter) {
    return waiting.size() < MAX_WAITING && waiting.add(waiter);
  }

  /** Removes and returns up to the given number of requests that wait for a part at a VM. */
  List<Waiter> takeWaiting(LimitPart part, VmId queriedVm, int max) {
    List<Waiter> taken = new ArrayList<>();
    waiting.removeIf(
        waiter -> taken.size() < max && waitsFor(waiter, part, queriedVm) && taken.add(waiter));
    return taken;
  }

  boolean hasWaiting(LimitPart part, VmId queriedVm) {
    return waiting.stream().anyMatch(waiter -> waitsFor(waiter, part, queriedVm));
  }

  private boolean waitsFor(Waiter waiter, LimitPart part, VmId queriedVm) {
    return partFor(waiter).equals(part) && waiter.lender().map(queriedVm::equals).orElse(true);
  }

  boolean isLenderEmpty(VmId lender, long nowMillis) {
    return lendersEmptyUntilMillis.getOrDefault(lender, Long.MIN_VALUE) > nowMillis;
  }

  /** Records that a part, or the reserve of the queried VM, has no token before the given time. */
  void recordEmptyUntil(LimitPart part, VmId queriedVm, long millis) {
    if (part.isReserve()) {
      lendersEmptyUntilMillis.put(queriedVm, millis);
    } else if (part.index() < parts()) {
      emptyUntilMillis[part.index()] = millis;
    }
  }

  boolean isKnownEmpty(LimitPart part, long nowMillis) {
    return emptyForMillis(part, nowMillis) > 0;
  }

  long emptyForMillis(LimitPart part, long nowMillis) {
    return part.index() < parts() ? emptyUntilMillis[part.index()] - nowMillis : 0;
  }

  private static long[] filled(int parts, long millis) {
    long[] times = new long[parts];
    Arrays.fill(times, millis);
    return times;
  }
}
