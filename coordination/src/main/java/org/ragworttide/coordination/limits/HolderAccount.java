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
 * One organisation's permits, reserve and waiting requests on this VM.
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
  private final int home;
  private long[] emptyUntilMillis;
  private boolean prefetching;
  private boolean scarce;

  HolderAccount(OrganisationId organisation, LimitShares shares, int home, long startMillis) {
    this.organisation = organisation;
    this.reserve = new Reserve(shares, startMillis);
    this.emptyUntilMillis = filled(shares.parts(), startMillis);
    this.home = home;
    this.demand = new DemandRate(startMillis);
  }

  /** Puts changed shares in force. */
  void change(LimitShares shares, long nowMillis) {
    reserve.change(shares, nowMillis);
    if (shares.parts() != emptyUntilMillis.length) {
      emptyUntilMillis = filled(shares.parts(), nowMillis);
    }
  }

  int parts() {
    return emptyUntilMillis.length;
  }

  /** Returns the part from which this VM fetches tokens ahead of requests. */
  LimitPart homePart() {
    return new LimitPart(organisation, Math.floorMod(home, parts()));
  }

  /** Returns the part to ask for a request. */
  LimitPart partFor(Waiter waiter) {
    return waiter.lender().isPresent()
        ? LimitPart.reserve(organisation)
        : new LimitPart(organisation, waiter.part(parts()));
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

  /** Uses a token of a permit; exhausted and expired permits move to the closed list. */
  boolean usePermit(long request, long nowMillis, List<Permit> closed) {
    while (!permits.isEmpty()) {
      Permit first = permits.peekFirst();
      boolean used = first.use(request, nowMillis);
      if (!used || first.isUsedUp()) {
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

  /** Removes permits that end within the margin, or all of them. */
  List<Permit> removeEnding(long marginMillis, long nowMillis) {
    List<Permit> ending = new ArrayList<>(0);
    permits.removeIf(permit -> permit.endsWithin(marginMillis, nowMillis) && ending.add(permit));
    return ending;
  }

  long heldTokens(long nowMillis) {
    return permits.stream().mapToInt(permit -> permit.left(nowMillis)).sum();
  }

  /** Returns how many tokens beyond the waiting ones are worth asking a part for. */
  int spareTokens(LimitPart part, long nowMillis) {
    boolean askable = part.isReserve() || part.equals(homePart());
    if (!askable || isKnownEmpty(part, nowMillis)) {
      return 0;
    }
    int expected = demand.expectedWithin(PREFETCH_MILLIS, nowMillis);
    long missing = Math.min(MAX_SPARE_TOKENS, expected) - heldTokens(nowMillis);
    return (int) Math.max(0, missing);
  }

  /** Returns whether tokens should be fetched before the held ones are used. */
  boolean runsLow(long nowMillis) {
    int expected = demand.expectedWithin(PREFETCH_MILLIS, nowMillis);
    return !prefetching
        && !isKnownEmpty(homePart(), nowMillis)
        && expected >= 2
        && heldTokens(nowMillis) * 2 < Math.min(MAX_SPARE_TOKENS, expected);
  }

  void prefetching(boolean value) {
    prefetching = value;
  }

  void scarce(boolean value) {
    scarce = value;
  }

  boolean isScarce() {
    return scarce;
  }

  /** Adds a waiting request; returns false if too many wait. */
  boolean await(Waiter waiter) {
    return waiting.size() < MAX_WAITING && waiting.add(waiter);
  }

  /** Removes and returns up to the given number of requests that wait for a part at a VM. */
  List<Waiter> takeWaiting(LimitPart part, VmId askedVm, int max) {
    List<Waiter> taken = new ArrayList<>();
    waiting.removeIf(
        waiter -> taken.size() < max && waitsFor(waiter, part, askedVm) && taken.add(waiter));
    return taken;
  }

  boolean isAwaited(LimitPart part, VmId askedVm) {
    return waiting.stream().anyMatch(waiter -> waitsFor(waiter, part, askedVm));
  }

  private boolean waitsFor(Waiter waiter, LimitPart part, VmId askedVm) {
    return partFor(waiter).equals(part) && waiter.lender().map(askedVm::equals).orElse(true);
  }

  boolean isLenderEmpty(VmId lender, long nowMillis) {
    return lendersEmptyUntilMillis.getOrDefault(lender, Long.MIN_VALUE) > nowMillis;
  }

  /** Notes that a part, or the reserve of the asked VM, has no token before the given time. */
  void emptyUntil(LimitPart part, VmId askedVm, long millis) {
    if (part.isReserve()) {
      lendersEmptyUntilMillis.put(askedVm, millis);
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
