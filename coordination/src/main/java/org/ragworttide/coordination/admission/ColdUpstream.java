package org.ragworttide.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.message.AdmissionMessage.Ask;

/**
 * State that the owner of an upstream keeps of it: its proven concurrency level and the outstanding
 * permits.
 *
 * <p>Invariant: a permit is issued only if the outstanding permits plus the requests inherited from
 * an earlier owner then stay within the level; the level never exceeds the upstream's cold limit.
 * Confined to the coordination thread.
 */
final class ColdUpstream {
  private final AdmissionSettings settings;
  private final Map<Long, Permit> permits = new HashMap<>();
  private final Map<Long, Long> lastMessageNumbers = new HashMap<>();
  private int coldLimit;
  private long coldSinceMillis;
  private boolean turnedCold;
  private long incarnation;
  private int inheritedRequests = Integer.MAX_VALUE;
  private int level;
  private int consecutiveSuccesses;
  private boolean warm;
  private int slowAnswers;
  private long slowWindowStartMillis;
  private long nextPermitNumber;

  ColdUpstream(
      int coldLimit,
      long incarnation,
      long firstPermitNumber,
      AdmissionSettings settings,
      long nowMillis) {
    this.coldLimit = coldLimit;
    this.incarnation = incarnation;
    this.nextPermitNumber = firstPermitNumber;
    this.settings = settings;
    this.level = firstLevel();
    this.coldSinceMillis = nowMillis;
  }

  boolean isWarm() {
    return warm;
  }

  /** Returns whether the process has turned cold without a restart and is not warm again yet. */
  boolean hasTurnedCold() {
    return turnedCold && !warm;
  }

  int level() {
    return level;
  }

  int outstanding() {
    return permits.size();
  }

  long incarnation() {
    return incarnation;
  }

  /** Records a load report; a load measured before the upstream was found cold is ignored. */
  void recordLoad(long measuredAtMillis, long load) {
    if (measuredAtMillis > coldSinceMillis) {
      inheritedRequests = (int) Math.min(inheritedRequests, load);
    }
  }

  /** Records that no requests run except those under outstanding permits. */
  void clearInherited() {
    inheritedRequests = 0;
  }

  /** Sets the cold limit; outstanding permits stay outstanding. */
  void setColdLimit(int limit) {
    coldLimit = limit;
    level = Math.min(level, limit);
  }

  /** Resets the state for a new process, to which some daemons may already have sent requests. */
  void restart(long newIncarnation, long nowMillis) {
    incarnation = newIncarnation;
    inheritedRequests = Integer.MAX_VALUE;
    coldSinceMillis = nowMillis;
    turnedCold = false;
    resetLevel();
  }

  /** Resets the state for the same process, in which requests without a permit may be running. */
  void markCold(long nowMillis) {
    inheritedRequests = Integer.MAX_VALUE;
    coldSinceMillis = nowMillis;
    turnedCold = true;
    resetLevel();
  }

  /** Marks the process warm after a report of a daemon that learned it from an earlier owner. */
  void confirmWarm(long warmIncarnation) {
    if (warmIncarnation == incarnation && !turnedCold && slowAnswers == 0) {
      warm = true;
    }
  }

  private int firstLevel() {
    return (coldLimit + 3) / 4;
  }

  private void resetLevel() {
    warm = false;
    level = firstLevel();
    consecutiveSuccesses = 0;
    slowAnswers = 0;
  }

  /** Records the number of a sender's message; returns whether it is above all earlier ones. */
  boolean recordIfNew(long sender, long number) {
    Long last = lastMessageNumbers.get(sender);
    if (last != null && number <= last) {
      return false;
    }
    lastMessageNumbers.put(sender, number);
    return true;
  }

  /** Issues permits, at most as many as the level leaves free. */
  IssuedPermits issue(Ask ask, long validMillis, long nowMillis) {
    permits.values().removeIf(permit -> permit.isAbandonedBy(ask));
    removeExpired(nowMillis);
    if (nowMillis - coldSinceMillis > settings.maxRunMillis()) {
      inheritedRequests = 0;
    }
    long free = (long) Math.min(level, coldLimit) - outstanding() - inheritedRequests;
    int requested = validMillis > 0 ? ask.permits() : 0;
    int issued = (int) Math.max(0, Math.min(requested, free));
    long first = nextPermitNumber;
    nextPermitNumber += issued;
    for (int i = 0; i < issued; i++) {
      long expiresAtMillis = nowMillis + validMillis + settings.maxRunMillis();
      permits.put(first + i, new Permit(ask.asker(), ask.number(), expiresAtMillis));
    }
    return new IssuedPermits(first, issued);
  }

  void release(long permit) {
    permits.remove(permit);
  }

  /**
   * Doubles the level once as many answers have begun since the last failure as it allows, or
   * halves it after a failure. Answers at a lower level also count towards the next one, so that
   * the permits of one generation of answers suffice to prove the upstream warm.
   */
  void recordOutcomes(int succeeded, int failed) {
    if (failed > 0) {
      level = (level + 1) / 2;
      consecutiveSuccesses = 0;
      return;
    }
    consecutiveSuccesses += succeeded;
    while (!warm && consecutiveSuccesses >= level) {
      if (level >= coldLimit) {
        warm = true;
      } else {
        level = Math.min(coldLimit, level * 2);
      }
    }
  }

  /** Counts slow answers and returns whether they show that the upstream has turned cold. */
  boolean showsCold(int count, long nowMillis) {
    if (nowMillis - slowWindowStartMillis > settings.slowWindowMillis()) {
      slowAnswers = 0;
      slowWindowStartMillis = nowMillis;
    }
    slowAnswers += count;
    return warm && slowAnswers >= settings.slowLimit();
  }

  private void removeExpired(long nowMillis) {
    permits.values().removeIf(permit -> permit.expiresAtMillis() <= nowMillis);
  }

  /**
   * Permits that one call issued.
   *
   * @param first the number of the first permit
   * @param count the number of permits, numbered consecutively from the first
   */
  record IssuedPermits(long first, int count) {}

  /**
   * Outstanding permit.
   *
   * @param asker the random number of the holder
   * @param number the number of the permit request
   * @param expiresAtMillis the time from which its request cannot be running any more
   */
  private record Permit(long asker, long number, long expiresAtMillis) {
    private boolean isAbandonedBy(Ask ask) {
      return asker == ask.asker() && number >= ask.abandonedFrom() && number < ask.number();
    }
  }
}
