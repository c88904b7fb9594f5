package org.ragworttide.coordination.placement;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.coordination.hash.Rendezvous;

/**
 * What one incarnation of an upstream has stated about the requests that it wants: that it is
 * leaving, that it wants none of this VM for some time, or how many per second it accepts from all
 * VMs together.
 *
 * <p>Handles upstreams that leave before the store says so, and full upstreams to which all VMs
 * would return in the moment in which the pause ends: each VM adds a part of the pause that differs
 * from the others', and its requests return at a rate that grows over {@link #RETURN_MILLIS}, or
 * over the length of a shorter pause, as long as other upstreams can serve them. Limits are shared
 * as {@link RequestAllowance} describes.
 *
 * <p>Invariants: an upstream that is leaving never becomes available again; no request is admitted
 * within a pause; a pause lasts at most {@link #MAX_PAUSE_MILLIS} and the part that is added,
 * whatever was stated; requests beyond this VM's part of a limit are not admitted, not even if no
 * other upstream can serve them. Confined to one thread.
 */
public final class StatedAvailability {
  /**
   * Longest pause: about the time in which operators replace an upstream. A larger value, such as
   * one in another unit, would take the upstream out of service.
   */
  public static final long MAX_PAUSE_MILLIS = 60_000;

  /**
   * Time for which an upstream that is leaving receives requests if no other can serve them: half
   * of the shortest time for which upstreams serve after they have announced that they leave.
   */
  static final long LEAVING_GRACE_MILLIS = 1_000;

  /** Time after a pause in which the rate of requests grows to any rate. */
  static final long RETURN_MILLIS = 2_000;

  /** Interval between requests at the end of a pause. */
  private static final long FIRST_INTERVAL_MILLIS = 200;

  /** At most one part in so many of a pause is added to it. */
  private static final long MAX_ADDED_SHARE = 4;

  /** Most that is added to a pause. */
  static final long MAX_ADDED_MILLIS = 1_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long seed;
  private final RequestAllowance allowance;
  private long leavingSinceMillis = NEVER;
  private long pauseEndMillis = NEVER;
  private long returnMillis;
  private long lastRequestMillis = NEVER;

  /**
   * Creates the availability of an upstream that has stated nothing.
   *
   * @param seed a well-mixed hash of the upstream's id, which decides with the time of a statement
   *     what is added to a pause, and which VMs share a limit
   * @param members the VMs that share a limit
   */
  StatedAvailability(long seed, FleetMembers members) {
    this.seed = seed;
    this.allowance = new RequestAllowance(members, seed);
  }

  /**
   * Records that the upstream is leaving.
   *
   * @return whether this is the first such statement
   */
  public boolean recordLeaving(long nowMillis) {
    if (isLeaving()) {
      return false;
    }
    leavingSinceMillis = nowMillis;
    return true;
  }

  /**
   * Records that the upstream wants no requests for some time; a pause is never shortened.
   *
   * @return whether a pause begins
   */
  public boolean recordPause(long millis, long nowMillis) {
    boolean begins = !isPaused(nowMillis);
    long bounded = Math.clamp(millis, 0, MAX_PAUSE_MILLIS);
    long maxAdded = Math.min(bounded / MAX_ADDED_SHARE, MAX_ADDED_MILLIS);
    long added = Math.floorMod(Rendezvous.weight(seed, nowMillis), maxAdded + 1);
    if (nowMillis + bounded + added > pauseEndMillis) {
      pauseEndMillis = nowMillis + bounded + added;
      returnMillis = Math.min(bounded, RETURN_MILLIS);
    }
    return begins && bounded > 0;
  }

  /**
   * Records how many requests the upstream accepts, or that it names no limit any more, as it has
   * stated to this or another VM.
   *
   * @return whether a limit begins, changes or ends
   */
  public boolean recordLimit(RequestLimit named, long nowMillis) {
    return allowance.recordLimit(named, nowMillis);
  }

  /** Records that a request is sent now. */
  public void recordRequest(long nowMillis) {
    lastRequestMillis = nowMillis;
    allowance.recordRequest(nowMillis);
  }

  /** Takes over what an earlier entry of the same incarnation has stated. */
  public void inherit(StatedAvailability earlier) {
    leavingSinceMillis = Math.max(leavingSinceMillis, earlier.leavingSinceMillis);
    pauseEndMillis = Math.max(pauseEndMillis, earlier.pauseEndMillis);
    returnMillis = Math.max(returnMillis, earlier.returnMillis);
    lastRequestMillis = Math.max(lastRequestMillis, earlier.lastRequestMillis);
    allowance.inherit(earlier.allowance);
  }

  /** Returns whether the upstream is leaving. */
  public boolean isLeaving() {
    return leavingSinceMillis != NEVER;
  }

  /** Returns whether anything that the upstream has stated is in force. */
  public boolean isStated(long nowMillis) {
    return isLeaving() || isPaused(nowMillis) || limit(nowMillis).isPresent();
  }

  /** Returns the limit that is in force, or empty if there is none. */
  public Optional<RequestLimit> limit(long nowMillis) {
    return allowance.limit(nowMillis);
  }

  /** Returns the limit, or that it has ended lately, for other VMs. */
  public Optional<RequestLimit> limitNews(long nowMillis) {
    return allowance.news(nowMillis);
  }

  /**
   * Returns the milliseconds for which a pause or a limit admits no request; 0 if there is neither.
   */
  public long waitMillis(long nowMillis) {
    return Math.max(remainingPauseMillis(nowMillis).orElse(0), allowance.waitMillis(nowMillis));
  }

  /** Returns the milliseconds until the pause ends, empty if there is none. */
  public OptionalLong remainingPauseMillis(long nowMillis) {
    return isPaused(nowMillis) ? OptionalLong.of(pauseEndMillis - nowMillis) : OptionalLong.empty();
  }

  /** Returns whether a request may be sent now. */
  public boolean admits(long nowMillis) {
    return !isLeaving()
        && !isPaused(nowMillis)
        && isWithinReturnRate(nowMillis)
        && allowance.admits(nowMillis);
  }

  /** Returns whether a request may be sent now if no other upstream admits one. */
  public boolean admitsAsLastResort(long nowMillis) {
    return !isPaused(nowMillis)
        && allowance.admits(nowMillis)
        && (!isLeaving() || nowMillis - leavingSinceMillis < LEAVING_GRACE_MILLIS);
  }

  private boolean isPaused(long nowMillis) {
    return nowMillis < pauseEndMillis;
  }

  private boolean isWithinReturnRate(long nowMillis) {
    long remaining = returnMillis - (nowMillis - pauseEndMillis);
    return remaining <= 0
        || nowMillis - lastRequestMillis >= FIRST_INTERVAL_MILLIS * remaining / returnMillis;
  }
}
