package org.ragworttide.gateway.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.ragworttide.coordination.placement.PeerLoads;
import org.ragworttide.coordination.placement.RequestLimit;
import org.ragworttide.coordination.placement.StatedAvailability;
import org.ragworttide.coordination.placement.UpstreamLoad;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.model.UpstreamEntry;
import org.ragworttide.gateway.relay.UpstreamStatement;

/**
 * One incarnation of an upstream: its last published entry, its load and the idle connections to
 * it.
 *
 * <p>Invariant: idle connections are open and have no request in flight. Confined to the event
 * loop.
 */
public final class Upstream {
  /**
   * Milliseconds after an upstream was seen draining in which it receives requests that nobody else
   * can serve: half of the shortest time in which the users' upstreams still accept requests.
   */
  private static final long DRAINING_LAST_RESORT_MILLIS = 1_000;

  private final UpstreamLoad load;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private UpstreamEntry entry;
  private boolean loggedUnreadable;
  private boolean closed;
  private long drainingSinceMillis;

  /** Creates an upstream without connections. */
  public Upstream(UpstreamEntry entry, PeerLoads peers, long nowMillis) {
    this.entry = entry;
    this.drainingSinceMillis = entry.draining() ? Long.MIN_VALUE / 2 : nowMillis;
    this.load =
        new UpstreamLoad(entry.id(), entry.zone(), entry.slots(), entry.startedAtMillis(), peers);
    load.coldAllowance().setColdUntil(nowMillis + entry.coldRemainingMillis());
  }

  /** Returns the entry that the upstream published last. */
  public UpstreamEntry entry() {
    return entry;
  }

  /** Returns the estimated load of the upstream. */
  public UpstreamLoad load() {
    return load;
  }

  /**
   * Returns the key of this incarnation of the upstream, which VMs exchange in their statements.
   */
  public int incarnationKey() {
    return load.incarnationKey();
  }

  /** Returns whether the entry belongs to this incarnation of the upstream. */
  public boolean isSameIncarnation(UpstreamEntry other) {
    return other.service().equals(entry.service())
        && other.address().equals(entry.address())
        && other.version().equals(entry.version())
        && (other.startedAtMillis() == entry.startedAtMillis() || other.startedAtMillis() == 0);
  }

  /** Returns whether the upstream accepts requests, or is draining since a moment ago. */
  public boolean admitsAsLastResort(long nowMillis) {
    return !entry.draining() || nowMillis - drainingSinceMillis < DRAINING_LAST_RESORT_MILLIS;
  }

  /** Returns whether the upstream has been removed or replaced by another incarnation. */
  public boolean isRemoved() {
    return closed;
  }

  /** Updates the upstream from a newer entry of the same incarnation. */
  public void update(UpstreamEntry newer, long nowMillis) {
    if (newer.draining() && !entry.draining()) {
      drainingSinceMillis = nowMillis;
    }
    entry = newer;
    load.slots(newer.slots());
    load.coldAllowance().setColdUntil(nowMillis + newer.coldRemainingMillis());
  }

  /**
   * Records the requests per second that the upstream accepts from all VMs together, as it has
   * named them to this or another VM.
   */
  public void recordRequestLimit(RequestLimit limit, long nowMillis) {
    if (load.availability().recordLimit(limit, nowMillis)) {
      EventLog.log(
          LogEvent.REQUEST_LIMIT_NAMED,
          entry.id(),
          limit.perSecond().isPresent() ? limit.perSecond().getAsDouble() : "any number of");
    }
  }

  /** Records that the upstream is leaving, as it has stated to this or another VM. */
  public void recordLeaving(long nowMillis) {
    if (load.availability().recordLeaving(nowMillis)) {
      EventLog.log(LogEvent.UPSTREAM_LEAVING, entry.id());
    }
  }

  /**
   * Records that the upstream wants no requests of this VM for some time, as it has stated in a
   * response to this VM or in one that this VM has carried.
   */
  public void recordPause(long millis, long nowMillis) {
    StatedAvailability availability = load.availability();
    if (availability.recordPause(millis, nowMillis)) {
      EventLog.log(
          LogEvent.UPSTREAM_PAUSED,
          entry.id(),
          millis,
          availability.remainingPauseMillis(nowMillis).getAsLong());
    }
  }

  /** Records what the upstream has stated in a response to this VM. */
  void recordStatement(UpstreamStatement statement, long nowMillis) {
    if (statement.leaving()) {
      recordLeaving(nowMillis);
    }
    if (statement.requestLimit().isPresent() || statement.endsLimit()) {
      recordRequestLimit(new RequestLimit(statement.requestLimit(), nowMillis), nowMillis);
    }
    if (statement.pauseMillis().isPresent()) {
      recordPause(statement.pauseMillis().getAsLong(), nowMillis);
    }
    if (statement.unreadable().isPresent() && !loggedUnreadable) {
      loggedUnreadable = true;
      EventLog.log(LogEvent.STATEMENT_UNREADABLE, entry.id(), statement.unreadable().get());
    }
  }

  /** Takes over what an earlier entry of the same incarnation has stated. */
  public void inherit(Upstream earlier) {
    load.availability().inherit(earlier.load.availability());
  }

  /** Closes the idle connections; a busy connection is closed when it becomes idle. */
  public void close() {
    closed = true;
    closeIdle();
  }

  /** Closes the idle connections. */
  public void closeIdle() {
    while (!idle.isEmpty()) {
      idle.pop().close();
    }
  }

  Optional<UpstreamConnection> takeIdle(long nowMillis) {
    while (!idle.isEmpty()) {
      UpstreamConnection connection = idle.pop();
      if (connection.isReusable(nowMillis)) {
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  void putIdle(UpstreamConnection connection) {
    if (closed) {
      connection.close();
    } else {
      idle.push(connection);
    }
  }

  void removeIdle(UpstreamConnection connection) {
    idle.remove(connection);
  }
}
