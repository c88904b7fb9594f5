package org.ragworttide.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.ragworttide.coordination.message.AdmissionMessage.Grant;

/**
 * Permits and warm status that this daemon holds for one upstream.
 *
 * <p>Invariant: while the upstream is cold, a request beyond this daemon's share starts only under
 * a permit that has not expired; a permit starts only one request. Confined to the coordination
 * thread.
 */
final class PermitPool {
  private static final long NO_ASK = 0;
  private static final int MAX_EMPTY_GRANTS = 4;
  private static final long RECENT_REFUSAL_MILLIS = 1_000;

  private final Deque<Long> unused = new ArrayDeque<>();
  private final Deque<Long> running = new ArrayDeque<>();
  private long expiresAtMillis;
  private int emptyGrants;
  private long pendingAsk = NO_ASK;
  private long abandonedFrom = NO_ASK;
  private long lastAskAtMillis;
  private long lastRefusalAtMillis = Long.MIN_VALUE;
  private boolean warm;
  private long incarnation;
  private int runningWithoutPermit;
  private boolean unreported;
  private int share;
  private long warmUntilMillis = Long.MAX_VALUE;
  private boolean pendingAskVoided;
  private boolean failureUnacknowledged;

  /** Marks the upstream as one that publishes no load and sets this daemon's share of it. */
  void setUnreported(UpstreamWithoutLoadReports upstream) {
    unreported = true;
    share = upstream.share();
  }

  boolean isUnreported() {
    return unreported;
  }

  boolean isWarm() {
    return warm;
  }

  long incarnation() {
    return incarnation;
  }

  /** Sets the incarnation of the upstream's process; a new process is cold. */
  void setIncarnation(long value) {
    if (incarnation != value) {
      incarnation = value;
      warm = false;
    }
  }

  void setWarm(boolean nowWarm) {
    warm = nowWarm;
  }

  /** Treats the upstream as warm for the given time since the last permit request was sent. */
  void setWarmFor(long millis) {
    warm = true;
    warmUntilMillis = lastAskAtMillis + millis;
  }

  /** Records that the owner treats the upstream as cold, which acknowledges any failure. */
  void setCold() {
    warm = false;
    failureUnacknowledged = false;
  }

  /** Records a failure; the upstream is cold here until the owner acknowledges it. */
  void recordFailure() {
    warm = false;
    failureUnacknowledged = true;
  }

  boolean hasUnacknowledgedFailure() {
    return failureUnacknowledged;
  }

  /**
   * Returns whether at least half of the time of the warm status has passed, so that the owner has
   * to be asked again before it expires.
   */
  boolean isWarmStatusEnding(long nowMillis, long warmMillis) {
    return unreported && warm && nowMillis >= warmUntilMillis - warmMillis / 2;
  }

  /** Treats the upstream as cold once its warm status has expired. */
  void expireWarmStatus(long nowMillis) {
    warm = warm && nowMillis < warmUntilMillis;
  }

  /** Returns whether the upstream is cold and only requests within the daemon's share run here. */
  boolean isWithinShare() {
    return !warm && runningWithoutPermit <= share && running.isEmpty();
  }

  /** Makes the pool ignore an answer to the pending permit request. */
  void voidPendingAsk() {
    pendingAskVoided = true;
  }

  /** Starts a request if the upstream is warm, the share is not used up, or a permit is unused. */
  boolean tryStart(long nowMillis) {
    expireWarmStatus(nowMillis);
    if (warm || runningWithoutPermit < share) {
      runningWithoutPermit++;
      return true;
    }
    if (nowMillis >= expiresAtMillis || unused.isEmpty()) {
      return false;
    }
    running.add(unused.poll());
    return true;
  }

  /**
   * Ends a request and returns the permits to return to the owner; requests without a permit count
   * as ended first, so that no permit is returned too early.
   */
  List<Long> endRequest() {
    if (runningWithoutPermit > 0 || running.isEmpty()) {
      runningWithoutPermit = Math.max(0, runningWithoutPermit - 1);
      return List.of();
    }
    return List.of(running.poll());
  }

  /** Returns whether a permit request may be sent now; empty grants lengthen the wait. */
  boolean canAsk(long nowMillis, long timeoutMillis) {
    if (pendingAsk == NO_ASK) {
      return nowMillis - lastAskAtMillis >= (emptyGrants == 0 ? 0 : timeoutMillis << emptyGrants);
    }
    return nowMillis - lastAskAtMillis >= timeoutMillis;
  }

  /**
   * Records a sent permit request and returns the number of the first one since the last answer.
   */
  long recordAsk(long number, long nowMillis) {
    abandonedFrom = pendingAsk == NO_ASK ? number : abandonedFrom;
    pendingAsk = number;
    pendingAskVoided = false;
    lastAskAtMillis = nowMillis;
    return abandonedFrom;
  }

  /** Returns whether a permit request has not been answered in time. */
  boolean isAskOverdue(long nowMillis, long timeoutMillis) {
    return pendingAsk != NO_ASK && nowMillis - lastAskAtMillis >= timeoutMillis;
  }

  /** Returns whether the answer matches the pending permit request, and completes that request. */
  boolean completeAsk(long number) {
    boolean matches = pendingAsk != NO_ASK && pendingAsk == number && !pendingAskVoided;
    if (matches) {
      pendingAsk = NO_ASK;
    }
    return matches;
  }

  /** Returns whether an answer is awaited that is likely to be a permit. */
  boolean isAwaitingPermit(long nowMillis) {
    boolean recentlyRefused =
        lastRefusalAtMillis != Long.MIN_VALUE
            && nowMillis - lastRefusalAtMillis < RECENT_REFUSAL_MILLIS;
    return pendingAsk != NO_ASK && !recentlyRefused;
  }

  /** Records that the owner had no free permit. */
  void recordRefusal(long nowMillis) {
    lastRefusalAtMillis = nowMillis;
  }

  /**
   * Adds permits, whose validity counts from when the permit request was sent, and removes and
   * returns the unused older ones.
   */
  List<Long> addGrant(Grant grant, double clockRateTolerance) {
    final List<Long> olderPermits = List.copyOf(unused);
    unused.clear();
    int maxEmptyGrants = unreported ? 1 : MAX_EMPTY_GRANTS;
    emptyGrants = grant.permits() > 0 ? 0 : Math.min(maxEmptyGrants, emptyGrants + 1);
    expiresAtMillis = lastAskAtMillis + (long) (grant.validMillis() * (1 - clockRateTolerance));
    for (int i = 0; i < grant.permits(); i++) {
      unused.add(grant.firstPermit() + i);
    }
    return olderPermits;
  }

  /** Removes and returns the permits that expired unused. */
  List<Long> removeExpired(long nowMillis) {
    if (nowMillis < expiresAtMillis || unused.isEmpty()) {
      return List.of();
    }
    List<Long> expired = new ArrayList<>(unused);
    unused.clear();
    return expired;
  }

  int runningUnderPermits() {
    return running.size();
  }
}
