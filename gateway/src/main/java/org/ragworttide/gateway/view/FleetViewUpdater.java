package org.ragworttide.gateway.view;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.streams.StoreListing;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.model.Configuration;
import org.ragworttide.gateway.model.UpstreamEntry;

/**
 * Applies the changes read from the store to the fleet view. Entries that expired during an outage
 * of the store are kept until running upstreams have had time to publish them again.
 *
 * <p>Invariant: an upstream that is withdrawn while the store is reachable is removed at once.
 * Confined to the event loop.
 */
public final class FleetViewUpdater {
  /** Milliseconds after an outage within which running upstreams publish expired entries again. */
  private static final long REPUBLISH_GRACE_MILLIS = 2_000;

  /** Shortest outage, in milliseconds, that may have caused entries to expire. */
  private static final long MIN_OUTAGE_MILLIS = 1_000;

  private final FleetView view;
  private final TimerService time;
  private final Map<UpstreamId, TimerService.Subscription> pendingRemovals = new HashMap<>();
  private long storeLostAtMillis = -1;
  private long graceDeadlineMillis;
  private boolean catchingUp;

  /** Creates an updater of the view. */
  public FleetViewUpdater(FleetView view, TimerService time) {
    this.view = view;
    this.time = time;
  }

  /** Returns whether a configuration is in force. */
  public boolean isConfigured() {
    return view.configuration().isPresent();
  }

  /**
   * Applies the configuration unless its version is lower than that of the current one.
   *
   * @param revision the store's revision, for the log
   */
  public void applyConfiguration(Configuration configuration, long revision) {
    if (view.apply(configuration)) {
      EventLog.log(LogEvent.CONFIGURATION_APPLIED, configuration.version(), "revision " + revision);
    } else {
      EventLog.log(
          LogEvent.CONFIGURATION_REFUSED,
          configuration.version(),
          "revision " + revision + " has a lower version than the one in force");
    }
  }

  /** Adds or updates an upstream that has published its entry. */
  public void putUpstream(UpstreamEntry entry) {
    cancelRemoval(entry.id());
    view.put(entry, time.nowMillis());
    EventLog.log(
        LogEvent.UPSTREAM_PUT,
        entry.id(),
        entry.service(),
        entry.version().orElse("unknown"),
        entry.address(),
        entry.draining(),
        entry.coldRemainingMillis());
  }

  /**
   * Removes an upstream whose entry was deleted, after a grace period if the entry may have expired
   * during an outage.
   */
  public void withdrawUpstream(UpstreamId id) {
    withdrawUpstream(id, returnGraceMillis());
  }

  /**
   * Removes an upstream whose entry was deleted.
   *
   * @param graceMillis milliseconds within which a running upstream publishes its entry again
   *     because it may have expired during an outage; 0 if it was withdrawn
   */
  public void withdrawUpstream(UpstreamId id, long graceMillis) {
    if (graceMillis <= 0) {
      remove(id, "withdrawn");
    } else if (!pendingRemovals.containsKey(id)) {
      pendingRemovals.put(
          id, time.after(graceMillis, () -> remove(id, "not published again after the outage")));
    }
  }

  /**
   * Returns the milliseconds for which an entry whose deletion is read now may be published again;
   * 0 unless the read is the first after an outage.
   */
  public long returnGraceMillis() {
    return catchingUp ? Math.max(0, graceDeadlineMillis - time.nowMillis()) : 0;
  }

  /** Records what a listing of the store, which has just been applied, tells of the past. */
  public void recordListing(StoreListing listing) {
    view.versions().recordListing(listing);
  }

  /** Records that changes of the store may have been missed. */
  public void recordGap() {
    view.versions().recordGap(time.nowMillis());
  }

  /** Returns whether an entry of the upstream is known. */
  public boolean isKnown(UpstreamId id) {
    return view.isKnown(id);
  }

  /** Records an entry that an upstream had before this VM has observed the store. */
  public void recordEarlierEntry(UpstreamEntry entry) {
    view.versions().recordEarlier(entry, time.nowMillis());
  }

  /** Records that an upstream is gone of which this VM has never seen an entry. */
  public void recordUnknownGone() {
    view.versions().recordUnknownGone(time.nowMillis());
  }

  /** Evacuates an availability zone. */
  public void evacuateZone(ZoneId zone) {
    if (view.evacuate(zone)) {
      EventLog.log(LogEvent.ZONE_EVACUATED, zone);
    }
  }

  /** Restores an evacuated availability zone. */
  public void restoreZone(ZoneId zone) {
    if (view.restore(zone)) {
      EventLog.log(LogEvent.ZONE_RESTORED, zone);
    }
  }

  /** Records that the store cannot be read. */
  public void recordStoreFailure(String reason) {
    if (storeLostAtMillis < 0) {
      storeLostAtMillis = time.nowMillis();
      EventLog.log(LogEvent.STORE_LOST, reason);
    }
  }

  /** Records that the store was read. */
  public void recordStoreRead(long revision) {
    if (storeLostAtMillis < 0) {
      return;
    }
    long now = time.nowMillis();
    long outageMillis = now - storeLostAtMillis;
    storeLostAtMillis = -1;
    if (outageMillis >= MIN_OUTAGE_MILLIS) {
      graceDeadlineMillis = now + REPUBLISH_GRACE_MILLIS;
      catchingUp = true;
    }
    EventLog.log(LogEvent.STORE_REGAINED, revision, outageMillis);
  }

  /**
   * Records that another VM reads the store and sends its changes, with the grace periods of those
   * that it has read after an outage.
   */
  public void recordStoreContact() {
    storeLostAtMillis = -1;
  }

  /** Records that all changes made during the outage have been applied. */
  public void completeCatchUp() {
    catchingUp = false;
  }

  private void cancelRemoval(UpstreamId id) {
    TimerService.Subscription removal = pendingRemovals.remove(id);
    if (removal != null) {
      removal.cancel();
    }
  }

  private void remove(UpstreamId id, String reason) {
    cancelRemoval(id);
    view.remove(id, time.nowMillis());
    EventLog.log(LogEvent.UPSTREAM_REMOVED, id, reason);
  }
}
