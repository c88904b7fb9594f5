package org.ragworttide.gateway.view;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.model.Configuration;
import org.ragworttide.gateway.model.UpstreamEntry;

/**
 * Takes published facts into the view. Entries that lapsed while their publisher was away are kept
 * until live upstreams had time to publish again.
 *
 * <p>Invariant: an upstream withdrawn while the publisher is in touch is removed at once. Confined
 * to the event loop.
 */
public final class FleetFacts {
  /** Milliseconds after the publisher's return in which lapsed entries come back. */
  private static final long LAPSE_GRACE_MILLIS = 2_000;

  /** Milliseconds without the publisher from which entries may have lapsed by its absence. */
  private static final long OUTAGE_MILLIS = 1_000;

  private final FleetView view;
  private final TimerService time;
  private final Map<UpstreamId, TimerService.Subscription> removals = new HashMap<>();
  private long lostAtMillis = -1;
  private long graceUntilMillis;
  private boolean catchingUp;

  /** Creates facts that go into the view. */
  public FleetFacts(FleetView view, TimerService time) {
    this.view = view;
    this.time = time;
  }

  /** Takes a configuration of a revision. */
  public void configured(Configuration configuration, long revision) {
    if (view.apply(configuration, revision)) {
      EventLog.log(LogEvent.CONFIGURATION_APPLIED, configuration.version(), "revision " + revision);
    }
  }

  /** Takes what an upstream publishes. */
  public void published(UpstreamEntry entry) {
    TimerService.Subscription removal = removals.remove(entry.id());
    if (removal != null) {
      removal.cancel();
    }
    view.put(entry, time.nowMillis());
    EventLog.log(
        LogEvent.UPSTREAM_PUT,
        entry.id(),
        entry.service(),
        entry.address(),
        entry.draining(),
        entry.coldLeftMillis());
  }

  /** Takes that an upstream's entry is gone. */
  public void withdrawn(UpstreamId id) {
    long now = time.nowMillis();
    if (!catchingUp) {
      remove(id, "withdrawn");
    } else if (!removals.containsKey(id)) {
      removals.put(id, time.after(graceUntilMillis - now, () -> remove(id, "not back")));
    }
  }

  /** Takes the ids of all entries: upstreams that are not among them are withdrawn. */
  public void listed(Set<UpstreamId> ids) {
    Set<UpstreamId> missing = new HashSet<>();
    view.upstreams().forEach(it -> missing.add(it.entry().id()));
    missing.removeAll(ids);
    missing.forEach(this::withdrawn);
  }

  /** Takes that a zone is taken out. */
  public void evacuated(ZoneId zone) {
    if (view.evacuate(zone)) {
      EventLog.log(LogEvent.ZONE_EVACUATED, zone);
    }
  }

  /** Takes that a zone is taken back. */
  public void restored(ZoneId zone) {
    if (view.restore(zone)) {
      EventLog.log(LogEvent.ZONE_RESTORED, zone);
    }
  }

  /** Takes the zones that are taken out; all others are taken back. */
  public void evacuations(Set<ZoneId> zones) {
    new HashSet<>(view.evacuated())
        .stream().filter(zone -> !zones.contains(zone)).forEach(this::restored);
    zones.forEach(this::evacuated);
  }

  /** Takes that the publisher can't be read. */
  public void sourceLost(String reason) {
    if (lostAtMillis < 0) {
      lostAtMillis = time.nowMillis();
      EventLog.log(LogEvent.STORE_LOST, reason);
    }
  }

  /** Takes that the publisher was read. */
  public void sourceRead(long revision) {
    if (lostAtMillis < 0) {
      return;
    }
    long now = time.nowMillis();
    long away = now - lostAtMillis;
    lostAtMillis = -1;
    if (away >= OUTAGE_MILLIS) {
      graceUntilMillis = now + LAPSE_GRACE_MILLIS;
      catchingUp = true;
    }
    EventLog.log(LogEvent.STORE_REGAINED, revision, away);
  }

  /** Takes that all changes of the time without the publisher have been fed. */
  public void caughtUp() {
    catchingUp = false;
  }

  private void remove(UpstreamId id, String reason) {
    removals.remove(id);
    view.remove(id, time.nowMillis());
    EventLog.log(LogEvent.UPSTREAM_REMOVED, id, reason);
  }
}
