package org.ragworttide.coordination.streams;

import java.util.HashMap;
import java.util.Map;

/**
 * The software versions that upstreams of one service have had lately.
 *
 * <p>Handles streams that nobody remembers, for example after all VMs were killed at once: they may
 * go on only where no other version can have begun them. The upstreams that are present tell
 * nothing of those that have gone, so a VM has to have observed the service, itself or through what
 * the store keeps of its past, for as long as a stream may last.
 *
 * <p>Invariant: the time since which the service is observed without a gap only moves back if
 * {@link #recordPastKnown} says so. Confined to one thread.
 */
public final class VersionHistory {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<SoftwareVersion, Integer> present = new HashMap<>();
  private final Map<SoftwareVersion, Long> goneAtMillis = new HashMap<>();
  private long unknownGoneAtMillis = NEVER;
  private long observedSinceMillis;

  /** Creates the history of a service that is observed from the given time on. */
  public VersionHistory(long observedSinceMillis) {
    this.observedSinceMillis = observedSinceMillis;
  }

  /** Records an upstream that is present from now on. */
  public void recordPresent(SoftwareVersion version) {
    present.merge(version, 1, Integer::sum);
  }

  /** Records that one of the upstreams is gone. */
  public void recordGone(SoftwareVersion version, long nowMillis) {
    present.computeIfPresent(version, (key, count) -> count == 1 ? null : count - 1);
    recordEarlier(version, nowMillis);
  }

  /** Records a version of an upstream that was gone or replaced before it could be observed. */
  public void recordEarlier(SoftwareVersion version, long nowMillis) {
    goneAtMillis.put(version, nowMillis);
    goneAtMillis.values().removeIf(gone -> nowMillis - gone > StreamVersions.LIFETIME_MILLIS);
  }

  /** Records that an upstream is gone that was never observed, so that its version is unknown. */
  public void recordUnknownGone(long nowMillis) {
    unknownGoneAtMillis = nowMillis;
  }

  /** Records that all changes since the first stream are known as well. */
  public void recordPastKnown() {
    observedSinceMillis = NEVER;
  }

  /** Records that changes may have been missed: the service is observed from now on. */
  public void restartObservation(long nowMillis) {
    observedSinceMillis = nowMillis;
  }

  /** Returns whether an upstream of the version is present. */
  public boolean isPresent(SoftwareVersion version) {
    return present.containsKey(version);
  }

  /**
   * Returns the version that has begun every stream of the service that may still be continued.
   *
   * @param streamMillis the longest time between the first event of a stream and its continuation;
   *     at most {@link StreamVersions#LIFETIME_MILLIS} are used
   * @param nowMillis the time
   */
  public SoleVersion sole(long streamMillis, long nowMillis) {
    if (present.size() != 1) {
      return new SoleVersion.Several();
    }
    long lifetimeMillis = Math.min(streamMillis, StreamVersions.LIFETIME_MILLIS);
    SoftwareVersion version = present.keySet().iterator().next();
    boolean othersGoneLately =
        nowMillis - unknownGoneAtMillis <= lifetimeMillis
            || goneAtMillis.entrySet().stream()
                .anyMatch(
                    gone ->
                        !gone.getKey().equals(version)
                            && nowMillis - gone.getValue() <= lifetimeMillis);
    if (othersGoneLately) {
      return new SoleVersion.Several();
    }
    return nowMillis - observedSinceMillis > lifetimeMillis
        ? new SoleVersion.Known(version)
        : new SoleVersion.Unobserved();
  }
}
