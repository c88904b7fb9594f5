package org.ragworttide.daemon.audit;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jboss.logging.Logger;

/**
 * Keeps the latest changes for operators and writes each one to a dedicated logger.
 *
 * <p>Invariant: memory is bounded; the oldest entries are removed first. Safe for use by any
 * thread.
 */
public final class AuditTrail {
  private static final Logger LOGGER = Logger.getLogger("org.ragworttide.audit");
  private static final int MAX_ENTRIES = 2_000;

  private final Clock clock;
  private final Deque<AuditEntry> entries = new ArrayDeque<>();
  private long lastNumber;

  /** Creates an empty trail whose entries have the time of the clock. */
  public AuditTrail(Clock clock) {
    this.clock = clock;
  }

  /** Records one change; an empty string stands for an absent value. */
  public synchronized void record(
      AuditAction action, String actor, String subject, String from, String to) {
    AuditEntry entry =
        new AuditEntry(++lastNumber, clock.millis(), action, actor, subject, from, to);
    if (entries.size() == MAX_ENTRIES) {
      entries.removeFirst();
    }
    entries.addLast(entry);
    LOGGER.infof("%s by %s: %s from '%s' to '%s'", action, actor, subject, from, to);
  }

  /** Returns the newest entries, oldest first. */
  public synchronized List<AuditEntry> last(int count) {
    List<AuditEntry> all = new ArrayList<>(entries);
    return List.copyOf(all.subList(Math.max(0, all.size() - count), all.size()));
  }
}
