package org.ragworttide.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.ragworttide.coordination.message.AdmissionMessage.Grant;

/**
 * This daemon's permits for one upstream.
 *
 * <p>Invariant: a request starts only under a permit that has not expired, and a permit starts one
 * request. Confined to the coordination thread.
 */
final class PermitPool {
  private static final long NO_QUESTION = 0;
  private static final int MAX_EMPTY_GRANTS = 4;
  private static final long REFUSAL_COUNTS_MILLIS = 1_000;

  private final Deque<Long> unused = new ArrayDeque<>();
  private final Deque<Long> running = new ArrayDeque<>();
  private long expiresAtMillis;
  private int emptyGrants;
  private long question = NO_QUESTION;
  private long abandonedFrom = NO_QUESTION;
  private long askedAtMillis;
  private long refusedAtMillis = Long.MIN_VALUE;
  private boolean warm;
  private long incarnation;
  private int uncovered;
  private boolean unreported;
  private int share;
  private long warmUntilMillis = Long.MAX_VALUE;
  private boolean questionVoid;
  private boolean failureUntold;

  /** Takes over what holds for an upstream that publishes no load. */
  void unreported(UnreportedUpstream upstream) {
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

  /** Takes over which process runs at the upstream; a new one is cold. */
  void incarnation(long value) {
    if (incarnation != value) {
      incarnation = value;
      warm = false;
    }
  }

  void warm(boolean nowWarm) {
    warm = nowWarm;
  }

  /** Takes the owner's word for warm, for a time counted from when it was asked. */
  void warmFor(long millis) {
    warm = true;
    warmUntilMillis = askedAtMillis + millis;
  }

  /** Takes over that the owner holds the upstream for cold, so that it knows of any failure. */
  void cold() {
    warm = false;
    failureUntold = false;
  }

  /** Notes a failure, after which the upstream is cold here until the owner knows of it. */
  void failed() {
    warm = false;
    failureUntold = true;
  }

  boolean isFailureUntold() {
    return failureUntold;
  }

  /** Tells whether to ask the owner again before the upstream counts as cold. */
  boolean isWarmthEnding(long nowMillis, long warmMillis) {
    return unreported && warm && nowMillis >= warmUntilMillis - warmMillis / 2;
  }

  /** Takes the upstream for cold once the owner's word for warm has run out. */
  void expireWarmth(long nowMillis) {
    warm = warm && nowMillis < warmUntilMillis;
  }

  /** Tells whether nothing runs here but what the daemon's share allows. */
  boolean isQuiet() {
    return !warm && uncovered <= share && running.isEmpty();
  }

  /** Keeps an answer to the open question from being used. */
  void voidQuestion() {
    questionVoid = true;
  }

  /** Starts a request if the upstream is warm or a place in the share or a permit is left. */
  boolean tryStart(long nowMillis) {
    expireWarmth(nowMillis);
    if (warm || uncovered < share) {
      uncovered++;
      return true;
    }
    if (nowMillis >= expiresAtMillis || unused.isEmpty()) {
      return false;
    }
    running.add(unused.poll());
    return true;
  }

  /**
   * Ends a request and returns the permits to give back; requests without a permit count as ended
   * first, so that no permit is given back too early.
   */
  List<Long> end() {
    if (uncovered > 0 || running.isEmpty()) {
      uncovered = Math.max(0, uncovered - 1);
      return List.of();
    }
    return List.of(running.poll());
  }

  /** Tells whether a question may be sent now; after empty grants it may be sent ever later. */
  boolean mayAsk(long nowMillis, long timeoutMillis) {
    if (question == NO_QUESTION) {
      return nowMillis - askedAtMillis >= (emptyGrants == 0 ? 0 : timeoutMillis << emptyGrants);
    }
    return nowMillis - askedAtMillis >= timeoutMillis;
  }

  /** Opens a question and returns the first one since the last answer. */
  long asked(long number, long nowMillis) {
    abandonedFrom = question == NO_QUESTION ? number : abandonedFrom;
    question = number;
    questionVoid = false;
    askedAtMillis = nowMillis;
    return abandonedFrom;
  }

  /** Tells whether a question has not been answered in time. */
  boolean isOverdue(long nowMillis, long timeoutMillis) {
    return question != NO_QUESTION && nowMillis - askedAtMillis >= timeoutMillis;
  }

  /** Tells whether the answer is to the open question, and closes it. */
  boolean closeQuestion(long number) {
    boolean open = question != NO_QUESTION && question == number && !questionVoid;
    if (open) {
      question = NO_QUESTION;
    }
    return open;
  }

  /** Tells whether an answer is awaited that may well be a permit. */
  boolean isDeciding(long nowMillis) {
    boolean refusedLately =
        refusedAtMillis != Long.MIN_VALUE && nowMillis - refusedAtMillis < REFUSAL_COUNTS_MILLIS;
    return question != NO_QUESTION && !refusedLately;
  }

  /** Notes that the owner had no permit left. */
  void refused(long nowMillis) {
    refusedAtMillis = nowMillis;
  }

  /** Takes permits over, counted from when the question was sent, and returns the older ones. */
  List<Long> grant(Grant grant, double clockRateTolerance) {
    final List<Long> older = List.copyOf(unused);
    unused.clear();
    int mostEmpty = unreported ? 1 : MAX_EMPTY_GRANTS;
    emptyGrants = grant.permits() > 0 ? 0 : Math.min(mostEmpty, emptyGrants + 1);
    expiresAtMillis = askedAtMillis + (long) (grant.validMillis() * (1 - clockRateTolerance));
    for (int i = 0; i < grant.permits(); i++) {
      unused.add(grant.firstPermit() + i);
    }
    return older;
  }

  /** Removes and returns the permits that expired without a request. */
  List<Long> expire(long nowMillis) {
    if (nowMillis < expiresAtMillis || unused.isEmpty()) {
      return List.of();
    }
    List<Long> expired = new ArrayList<>(unused);
    unused.clear();
    return expired;
  }

  int runningCold() {
    return running.size();
  }
}
