package org.ragworttide.coordination.placement;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * What a VM knows of the rejections that the upstreams of one service tolerate.
 *
 * <p>The newest statement of any upstream holds for all of them, so that one that has just started
 * is known to be brittle before its first answer. An answer without a statement ends the tolerance
 * if its upstream has stated one before; while software versions differ, others go on stating it.
 *
 * <p>Invariant: a tolerance that nobody has stated for {@link #LIFETIME_MILLIS} is not in force.
 * Confined to one thread.
 */
public final class RejectionTolerance {
  /** Time after which a tolerance that no answer has stated again expires. */
  static final long LIFETIME_MILLIS = 30_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Set<Integer> statedBy = new HashSet<>();
  private StatedTolerance newest;
  private long sinceMillis = NEVER;
  private long lastInForceMillis = NEVER;

  /**
   * Creates the tolerance of a service whose upstreams have stated none.
   *
   * @param service the key of the service in the statements of VMs
   */
  public RejectionTolerance(int service) {
    newest = new StatedTolerance(service, OptionalInt.empty(), NEVER);
  }

  /**
   * Records an answer of an upstream.
   *
   * @param upstream the key of the upstream's incarnation
   * @param rejectionsPerSecond what it states, empty if nothing
   * @return whether a tolerance begins, changes or ends
   */
  public boolean recordAnswer(int upstream, OptionalInt rejectionsPerSecond, long nowMillis) {
    boolean counts =
        rejectionsPerSecond.isPresent() ? noteStated(upstream) : statedBy.remove(upstream);
    return counts
        && record(new StatedTolerance(newest.service(), rejectionsPerSecond, nowMillis), nowMillis);
  }

  private boolean noteStated(int upstream) {
    statedBy.add(upstream);
    return true;
  }

  /**
   * Records what this or another VM was told; of two statements the later counts.
   *
   * @return whether a tolerance begins, changes or ends
   */
  public boolean record(StatedTolerance stated, long nowMillis) {
    if (stated.statedAtMillis() <= newest.statedAtMillis()
        || nowMillis - stated.statedAtMillis() >= LIFETIME_MILLIS) {
      return false;
    }
    OptionalInt before = perSecond(nowMillis);
    newest = stated;
    OptionalInt after = perSecond(nowMillis);
    if (after.isPresent()) {
      lastInForceMillis = nowMillis;
      if (before.isEmpty()) {
        sinceMillis = nowMillis;
      }
    }
    return !before.equals(after);
  }

  /** Returns the rejections per second that each upstream tolerates, empty if they state none. */
  public OptionalInt perSecond(long nowMillis) {
    return nowMillis - newest.statedAtMillis() < LIFETIME_MILLIS
        ? newest.rejectionsPerSecond()
        : OptionalInt.empty();
  }

  /** Returns the time since which the tolerance is in force, as far as this VM knows. */
  public long sinceMillis() {
    return sinceMillis;
  }

  /** Returns the tolerance, or that it has ended lately, for other VMs. */
  public Optional<StatedTolerance> news(long nowMillis) {
    return nowMillis - lastInForceMillis < LIFETIME_MILLIS
            && nowMillis - newest.statedAtMillis() < LIFETIME_MILLIS
        ? Optional.of(newest)
        : Optional.empty();
  }
}
