package org.ragworttide.gateway.view;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.streams.SoftwareVersion;
import org.ragworttide.coordination.streams.SoleVersion;
import org.ragworttide.coordination.streams.StoreListing;
import org.ragworttide.coordination.streams.VersionHistory;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.UpstreamEntry;

/**
 * The software versions that upstreams of each service have had, as far as the VM has observed the
 * store or the store has told it of the past.
 *
 * <p>Invariant: {@link #listing} tells of the time before everything that is observed. Confined to
 * the event loop.
 */
public final class ObservedVersions {
  private final Map<ServiceName, VersionHistory> histories = new HashMap<>();
  private StoreListing listing = StoreListing.NONE;

  /** Records an upstream that is present from now on. */
  void recordPresent(UpstreamEntry entry, long nowMillis) {
    history(entry.service(), nowMillis).recordPresent(entry.softwareVersion());
  }

  /** Records that an upstream is gone. */
  void recordGone(UpstreamEntry entry, long nowMillis) {
    history(entry.service(), nowMillis).recordGone(entry.softwareVersion(), nowMillis);
  }

  /** Records an entry that an upstream had before this VM has observed the store. */
  void recordEarlier(UpstreamEntry entry, long nowMillis) {
    history(entry.service(), nowMillis).recordEarlier(entry.softwareVersion(), nowMillis);
  }

  /** Records that an upstream is gone of which this VM has never seen an entry. */
  void recordUnknownGone(long nowMillis) {
    histories.values().forEach(history -> history.recordUnknownGone(nowMillis));
  }

  /** Records that changes may have been missed until now. */
  void recordGap(long nowMillis) {
    listing = StoreListing.NONE;
    histories.values().forEach(history -> history.restartObservation(nowMillis));
  }

  /** Records what a listing of the store, which has just been applied, tells of the past. */
  public void recordListing(StoreListing applied) {
    listing = applied;
  }

  /** Returns what the last listing of the store tells of the past. */
  public StoreListing listing() {
    return listing;
  }

  /** Records that all changes since the first stream are known. */
  public void recordPastKnown() {
    histories.values().forEach(VersionHistory::recordPastKnown);
  }

  /** Returns whether an upstream of the service has the version, also one that is draining. */
  public boolean isPresent(ServiceName service, SoftwareVersion version) {
    VersionHistory history = histories.get(service);
    return history != null && history.isPresent(version);
  }

  /**
   * Returns the version that has begun every stream of the service that may still be continued.
   *
   * @param streamMillis the longest time between the first event of a stream and its continuation
   */
  public SoleVersion sole(ServiceName service, long streamMillis, long nowMillis) {
    VersionHistory history = histories.get(service);
    return history == null ? new SoleVersion.Several() : history.sole(streamMillis, nowMillis);
  }

  private VersionHistory history(ServiceName service, long nowMillis) {
    return histories.computeIfAbsent(service, name -> new VersionHistory(nowMillis));
  }
}
