package org.ragworttide.coordination.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * One organisation's permits, reserve and waiting requests on this VM.
 *
 * <p>Invariant: the reserve starts empty in each run of the process. Not safe for use by several
 * threads.
 */
final class HolderAccount {
  private static final int PREFETCH_MILLIS = 500;
  private static final int MAX_SPARE_TOKENS = 64;
  private static final int MAX_WAITING = 1_024;

  private final OrganisationId organisation;
  private final TokenBucket reserve;
  private final DemandRate demand;
  private final Deque<Permit> permits = new ArrayDeque<>(2);
  private final Deque<Waiter> waiting = new ArrayDeque<>(2);
  private final int home;
  private long[] emptyUntilMillis;
  private boolean prefetching;
  private boolean scarce;

  HolderAccount(OrganisationId organisation, LimitShares shares, int home, long startMillis) {
    this.organisation = organisation;
    this.reserve = new TokenBucket(shares.reserve(), startMillis);
    this.emptyUntilMillis = filled(shares.parts(), startMillis);
    this.home = home;
    this.demand = new DemandRate(startMillis);
  }

  /** Puts changed shares in force. */
  void change(LimitShares shares, long nowMillis) {
    if (!reserve.limit().equals(shares.reserve())) {
      reserve.change(shares.reserve(), nowMillis);
    }
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
    return new LimitPart(organisation, waiter.part(parts()));
  }

  OrganisationId organisation() {
    return organisation;
  }

  TokenBucket reserve() {
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

  boolean useReserve(long nowMillis) {
    reserve.refill(nowMillis);
    return reserve.take(1) == 1;
  }

  boolean useFullReserve(long nowMillis) {
    reserve.refill(nowMillis);
    return reserve.isFull() && reserve.take(1) == 1;
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

  /** Returns how many tokens beyond the waiting ones are worth asking for. */
  int spareTokens(long nowMillis) {
    int expected = demand.expectedWithin(PREFETCH_MILLIS, nowMillis);
    long missing = Math.min(MAX_SPARE_TOKENS, expected) - heldTokens(nowMillis);
    return isKnownEmpty(homePart(), nowMillis) ? 0 : (int) Math.max(0, missing);
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

  /** Removes and returns up to the given number of requests that wait for a part. */
  List<Waiter> takeWaiting(LimitPart part, int max) {
    List<Waiter> taken = new ArrayList<>();
    waiting.removeIf(
        waiter -> taken.size() < max && partFor(waiter).equals(part) && taken.add(waiter));
    return taken;
  }

  boolean isAwaited(LimitPart part) {
    return waiting.stream().anyMatch(waiter -> partFor(waiter).equals(part));
  }

  void knownEmptyUntil(LimitPart part, long millis) {
    if (part.index() < parts()) {
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
