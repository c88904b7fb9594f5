package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Close;

/**
 * Tokens of one part of a limit at its owner, for one uninterrupted ownership, or of a VM's
 * reserve.
 *
 * <p>Invariants: neither refills nor returned tokens raise level plus tokens of open permits above
 * the share of the burst. A permit is closed once; a permit that is not closed counts as
 * outstanding until it has expired on every clock. Not safe for use by several threads.
 */
final class OwnerAccount {
  private final long sinceMillis;
  private final TokenBucket bucket;
  private final ConfirmedVms confirmed;
  private final Map<Long, OpenPermit> open = new HashMap<>();
  private final PriorityQueue<OpenPermit> byExpiry = new PriorityQueue<>();

  /**
   * Creates an account.
   *
   * @param share the share of the limit that the owner grants
   * @param sinceMillis when the ownership began
   * @param emptyAtMillis when the bucket was empty, not before the ownership began
   */
  OwnerAccount(RateLimit share, long sinceMillis, long emptyAtMillis) {
    this.sinceMillis = sinceMillis;
    this.bucket = new TokenBucket(share, emptyAtMillis);
    this.confirmed = new ConfirmedVms(emptyAtMillis);
  }

  boolean belongsTo(Ownership ownership) {
    return ownership.sinceMillis() == sinceMillis;
  }

  ConfirmedVms confirmed() {
    return confirmed;
  }

  TokenBucket bucket() {
    return bucket;
  }

  /**
   * Applies refills and permit expiries up to the given time, in the order in which they occurred.
   */
  void settle(long nowMillis) {
    while (!byExpiry.isEmpty() && byExpiry.peek().expiresAtMillis <= nowMillis) {
      OpenPermit permit = byExpiry.poll();
      if (open.remove(permit.id) != null) {
        bucket.refill(permit.expiresAtMillis);
        bucket.settleLent(permit.tokens, 0);
      }
    }
    bucket.refill(nowMillis);
  }

  /** Opens a permit of up to the given number of tokens and returns how many it holds. */
  int open(long permitId, VmId holder, int tokens, long expiresAtMillis, List<Long> askedRequests) {
    int granted = bucket.lend(tokens);
    if (granted > 0) {
      OpenPermit permit = new OpenPermit(permitId, holder, granted, expiresAtMillis, askedRequests);
      open.put(permitId, permit);
      byExpiry.add(permit);
    }
    return granted;
  }

  /**
   * Closes an open permit and returns the requests that used it; returns empty, without a change,
   * if the close is invalid.
   */
  Optional<List<Long>> close(VmId holder, Close close) {
    OpenPermit permit = open.get(close.permitId());
    if (permit == null || !permit.holder.equals(holder)) {
      return Optional.empty();
    }
    List<Long> used = close.usedAsAsked() ? permit.askedRequests : close.requests();
    if (used.size() > permit.tokens) {
      return Optional.empty();
    }
    open.remove(permit.id);
    byExpiry.remove(permit);
    bucket.settleLent(permit.tokens, permit.tokens - used.size());
    return Optional.of(used);
  }

  boolean isOpen(long permitId) {
    return open.containsKey(permitId);
  }

  boolean hasOpenPermits() {
    return !open.isEmpty();
  }

  /** Returns how many tokens may be granted in addition to those for the waiting requests. */
  long spareTokens(int waiting) {
    long half = (long) (bucket.limit().burst() / 2);
    return Math.max(0, (bucket.wholeTokens() - waiting - half) / 2);
  }

  /** Returns when the next permit expires, or the given time if none is open. */
  long nextExpiryMillis(long defaultMillis) {
    return byExpiry.isEmpty() ? defaultMillis : byExpiry.peek().expiresAtMillis;
  }

  private record OpenPermit(
      long id, VmId holder, int tokens, long expiresAtMillis, List<Long> askedRequests)
      implements Comparable<OpenPermit> {
    @Override
    public int compareTo(OpenPermit other) {
      int byTime = Long.compare(expiresAtMillis, other.expiresAtMillis);
      return byTime != 0 ? byTime : Long.compare(id, other.id);
    }
  }
}
