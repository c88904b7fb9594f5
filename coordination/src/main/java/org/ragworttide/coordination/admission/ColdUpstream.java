package org.ragworttide.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.message.AdmissionMessage.Ask;

/**
 * What the owner of an upstream knows of it: the level it has proved to bear and the permits out.
 *
 * <p>Invariant: permits out plus requests inherited from an earlier owner never exceed the level,
 * and the level never exceeds the upstream's cold limit. Confined to the coordination thread.
 */
final class ColdUpstream {
  private final AdmissionSettings settings;
  private final Map<Long, Permit> permits = new HashMap<>();
  private final Map<Long, Long> lastNumbers = new HashMap<>();
  private int coldLimit;
  private long coldSinceMillis;
  private boolean turnedCold;
  private long incarnation;
  private int inherited = Integer.MAX_VALUE;
  private int level;
  private int proofs;
  private boolean warm;
  private int slow;
  private long slowSinceMillis;
  private long nextPermit;

  ColdUpstream(
      int coldLimit, long incarnation, long firstPermit, AdmissionSettings settings, long now) {
    this.coldLimit = coldLimit;
    this.incarnation = incarnation;
    this.nextPermit = firstPermit;
    this.settings = settings;
    this.level = firstLevel();
    this.coldSinceMillis = now;
  }

  boolean isWarm() {
    return warm;
  }

  /** Tells whether the process is one that has turned cold again and not yet proved warm. */
  boolean hasTurnedCold() {
    return turnedCold && !warm;
  }

  int level() {
    return level;
  }

  int out() {
    return permits.size();
  }

  long incarnation() {
    return incarnation;
  }

  /** Takes a load report over; one measured before the upstream was found cold tells nothing. */
  void report(long measuredAtMillis, long load) {
    if (measuredAtMillis > coldSinceMillis) {
      inherited = (int) Math.min(inherited, load);
    }
  }

  /** Takes over that nothing runs but what the permits out stand for. */
  void inheritNothing() {
    inherited = 0;
  }

  /** Replaces the cold limit; permits that are out stay out. */
  void coldLimit(int limit) {
    coldLimit = limit;
    level = Math.min(level, limit);
  }

  /** Begins again with a new process, to which some daemons may have sent already. */
  void restart(long newIncarnation, long nowMillis) {
    incarnation = newIncarnation;
    inherited = Integer.MAX_VALUE;
    coldSinceMillis = nowMillis;
    turnedCold = false;
    beginAgain();
  }

  /** Begins again with the same process, in which requests may run that no permit covers. */
  void turnCold(long nowMillis) {
    inherited = Integer.MAX_VALUE;
    coldSinceMillis = nowMillis;
    turnedCold = true;
    beginAgain();
  }

  /** Believes a daemon that knows from an earlier owner that the process is warm. */
  void vouch(long vouchedIncarnation) {
    if (vouchedIncarnation == incarnation && !turnedCold && slow == 0) {
      warm = true;
    }
  }

  private int firstLevel() {
    return (coldLimit + 3) / 4;
  }

  private void beginAgain() {
    warm = false;
    level = firstLevel();
    proofs = 0;
    slow = 0;
  }

  /** Tells whether a message of the sender is a new one. */
  boolean isNew(long sender, long number) {
    Long last = lastNumbers.get(sender);
    if (last != null && number <= last) {
      return false;
    }
    lastNumbers.put(sender, number);
    return true;
  }

  /** Takes permits out, as many as the level leaves. */
  Taken take(Ask ask, long validMillis, long nowMillis) {
    permits.values().removeIf(permit -> permit.isAbandonedBy(ask));
    forgetLost(nowMillis);
    if (nowMillis - coldSinceMillis > settings.maxRunMillis()) {
      inherited = 0;
    }
    long free = (long) Math.min(level, coldLimit) - out() - inherited;
    int wanted = validMillis > 0 ? ask.permits() : 0;
    int taken = (int) Math.max(0, Math.min(wanted, free));
    long first = nextPermit;
    nextPermit += taken;
    for (int i = 0; i < taken; i++) {
      long until = nowMillis + validMillis + settings.maxRunMillis();
      permits.put(first + i, new Permit(ask.asker(), ask.number(), until));
    }
    return new Taken(first, taken);
  }

  void giveBack(long permit) {
    permits.remove(permit);
  }

  /**
   * Raises the level when as many answers as it allows have begun, so that the permits of one
   * generation of answers prove the upstream warm, or lowers it after a failure.
   */
  void feedback(int succeeded, int failed) {
    if (failed > 0) {
      level = (level + 1) / 2;
      proofs = 0;
      return;
    }
    proofs += succeeded;
    while (!warm && proofs >= level) {
      if (level >= coldLimit) {
        warm = true;
      } else {
        level = Math.min(coldLimit, level * 2);
      }
    }
  }

  /** Counts slow answers and tells whether they show that the upstream has turned cold. */
  boolean showsCold(int count, long nowMillis) {
    if (nowMillis - slowSinceMillis > settings.slowWindowMillis()) {
      slow = 0;
      slowSinceMillis = nowMillis;
    }
    slow += count;
    return warm && slow >= settings.slowLimit();
  }

  private void forgetLost(long nowMillis) {
    permits.values().removeIf(permit -> permit.untilMillis() <= nowMillis);
  }

  /**
   * Permits that were taken.
   *
   * @param first the number of the first permit
   * @param count how many, numbered on from the first
   */
  record Taken(long first, int count) {}

  /**
   * One permit that is out.
   *
   * @param asker who got it
   * @param number for which question
   * @param untilMillis when its request cannot run any more
   */
  private record Permit(long asker, long number, long untilMillis) {
    private boolean isAbandonedBy(Ask ask) {
      return asker == ask.asker() && number >= ask.abandonedFrom() && number < ask.number();
    }
  }
}
