package org.ragworttide.coordination.admission;

/**
 * Decides which requests a VM that is being stopped still accepts, when it gives those that it has
 * accepted their final answers, and when its process may exit.
 *
 * <p>Load pattern: rolling stops. Callers are routed to a VM for some seconds after its stop has
 * begun, and use their connections for longer. Requests with a short deadline are served nearly
 * until the end of the grace period; those that might outlast it are refused from the start, while
 * they can still be sent to another VM.
 *
 * <p>Invariant: once a stop has begun, each accepted request ends before the final answers are due,
 * and these are due before the process exits, however short the grace period is. Confined to one
 * thread.
 */
public final class StopAdmission {
  /**
   * Part of the grace period that is reserved for final answers and the exit. Answers that are
   * broken off within the last sixth of the grace period have had their time.
   */
  private static final int RESERVED_PART = 7;

  /** Longest reserve: the time to write and flush the final answers of a busy VM. */
  private static final long MAX_RESERVE_MILLIS = 1_000;

  /** Part of the reserve in which final answers are sent; the rest is for the process to exit. */
  private static final int ANSWERS_PART = 3;

  /** Milliseconds into a stop after which idle connections are closed: two health checks. */
  private static final long CLOSE_IDLE_AFTER_MILLIS = 2_000;

  /**
   * Milliseconds into a stop for which callers may be routed to the VM: two health checks and the
   * requests of those that connected just before the second one.
   */
  private static final long ROUTED_MILLIS = 2_700;

  private final long answersAfterMillis;
  private final long exitAfterMillis;
  private boolean stopping;
  private long stopStartedAtMillis;

  /** Creates the admission of a VM that is not being stopped. */
  public StopAdmission(long graceMillis) {
    long reserveMillis = Math.min(graceMillis / RESERVED_PART, MAX_RESERVE_MILLIS);
    this.answersAfterMillis = graceMillis - reserveMillis;
    this.exitAfterMillis = answersAfterMillis + reserveMillis / ANSWERS_PART;
  }

  /** Begins the stop; later calls have no effect. */
  public void begin(long nowMillis) {
    if (!stopping) {
      stopping = true;
      stopStartedAtMillis = nowMillis;
    }
  }

  /** Returns whether a stop has begun. */
  public boolean isStopping() {
    return stopping;
  }

  /**
   * Returns whether a request may be passed on.
   *
   * @param endsAtMillis when the request has ended at the latest, {@link Long#MAX_VALUE} if it may
   *     take any time
   */
  public boolean admits(long endsAtMillis) {
    return !stopping || endsAtMillis <= stopStartedAtMillis + answersAfterMillis;
  }

  /** Returns whether idle connections are to be closed. */
  public boolean closesIdleConnections(long nowMillis) {
    return hasElapsed(Math.min(CLOSE_IDLE_AFTER_MILLIS, answersAfterMillis), nowMillis);
  }

  /** Returns whether the requests that are still running are to be given their final answers. */
  public boolean areFinalAnswersDue(long nowMillis) {
    return hasElapsed(answersAfterMillis, nowMillis);
  }

  /**
   * Returns whether the process is to exit.
   *
   * @param anyConnections whether connections are open on which an answer or a request may be on
   *     its way
   */
  public boolean isExitDue(long nowMillis, boolean anyConnections) {
    boolean unused =
        !anyConnections && hasElapsed(Math.min(ROUTED_MILLIS, answersAfterMillis), nowMillis);
    return unused || hasElapsed(exitAfterMillis, nowMillis);
  }

  private boolean hasElapsed(long millis, long nowMillis) {
    return stopping && nowMillis - stopStartedAtMillis >= millis;
  }
}
