package org.ragworttide.gateway.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.ragworttide.coordination.placement.PeerLoads;
import org.ragworttide.coordination.placement.UpstreamLoad;
import org.ragworttide.gateway.model.UpstreamEntry;

/**
 * One run of an upstream: what it published last, its load, and the connections to it.
 *
 * <p>Invariant: idle connections are open and expect no answer. Confined to the event loop.
 */
public final class Upstream {
  private final UpstreamLoad load;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private UpstreamEntry entry;
  private boolean closed;

  /** Creates an upstream without connections. */
  public Upstream(UpstreamEntry entry, PeerLoads peers, long nowMillis) {
    this.entry = entry;
    this.load =
        new UpstreamLoad(entry.id(), entry.zone(), entry.slots(), entry.bornMillis(), peers);
    load.cold().coldUntil(nowMillis + entry.coldLeftMillis());
  }

  /** Returns what the upstream published last. */
  public UpstreamEntry entry() {
    return entry;
  }

  /** Returns the load believed to be on the upstream. */
  public UpstreamLoad load() {
    return load;
  }

  /** Returns a key of this run of the upstream, which VMs tell each other. */
  public int runKey() {
    return load.key() ^ Long.hashCode(entry.bornMillis());
  }

  /** Tells whether the entry is of this run of the upstream. */
  public boolean isSameRun(UpstreamEntry other) {
    return other.service().equals(entry.service())
        && other.address().equals(entry.address())
        && (other.bornMillis() == entry.bornMillis() || other.bornMillis() == 0);
  }

  /** Takes a newer entry of the same run. */
  public void update(UpstreamEntry newer, long nowMillis) {
    entry = newer;
    load.slots(newer.slots());
    load.cold().coldUntil(nowMillis + newer.coldLeftMillis());
  }

  /** Closes what is idle; what is busy is closed when it becomes idle. */
  public void close() {
    closed = true;
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

  void dropIdle(UpstreamConnection connection) {
    idle.remove(connection);
  }
}
