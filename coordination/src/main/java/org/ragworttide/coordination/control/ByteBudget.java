package org.ragworttide.coordination.control;

import java.util.EnumMap;
import java.util.Map;

/**
 * Limits the bytes per second that a daemon spends on control traffic.
 *
 * <p>Invariants: the bytes that pass in any window are at most the burst plus the rate times the
 * window; a message is dropped if it would use the share that is reserved for higher priorities.
 * Not safe for use by several threads.
 */
public final class ByteBudget {
  private static final long MILLIBYTES = 1_000;

  private final long bytesPerSecond;
  private final long burstMillibytes;
  private final Map<Priority, Long> dropped = new EnumMap<>(Priority.class);
  private long levelMillibytes;
  private long updatedMillis;
  private long passedBytes;

  /**
   * Creates a full budget.
   *
   * @param bytesPerSecond the rate, positive
   * @param burstBytes the burst, positive
   * @param nowMillis the time of the timer service
   */
  public ByteBudget(int bytesPerSecond, int burstBytes, long nowMillis) {
    if (bytesPerSecond <= 0 || burstBytes <= 0) {
      throw new IllegalArgumentException("bytesPerSecond and burstBytes must be positive");
    }
    this.bytesPerSecond = bytesPerSecond;
    this.burstMillibytes = burstBytes * MILLIBYTES;
    this.levelMillibytes = burstMillibytes;
    this.updatedMillis = nowMillis;
  }

  /** Priority of control traffic; the last one is dropped first. */
  public enum Priority {
    /** Leases, versions and other traffic on which all organisations depend. */
    SAFETY(0),
    /** Permits and admission, which callers wait for. */
    SERVICE(25),
    /** Claims, whose number callers determine. */
    CLAIM(35),
    /** Lists, probes and whole documents, which are sent repeatedly anyway. */
    BACKGROUND(50);

    private final int reservedPercent;

    Priority(int reservedPercent) {
      this.reservedPercent = reservedPercent;
    }
  }

  /** Consumes the bytes of one message; returns false if the message must be dropped. */
  public boolean tryConsume(Priority priority, int bytes, long nowMillis) {
    refill(nowMillis);
    long reserved = burstMillibytes * priority.reservedPercent / 100;
    long cost = bytes * MILLIBYTES;
    if (levelMillibytes - cost < reserved) {
      dropped.merge(priority, 1L, Long::sum);
      return false;
    }
    levelMillibytes -= cost;
    passedBytes += bytes;
    return true;
  }

  /** Returns how many messages of the priority were dropped. */
  public long dropped(Priority priority) {
    return dropped.getOrDefault(priority, 0L);
  }

  /** Returns how many bytes have passed. */
  public long passedBytes() {
    return passedBytes;
  }

  private void refill(long nowMillis) {
    long elapsed = Math.max(0, nowMillis - updatedMillis);
    updatedMillis = Math.max(updatedMillis, nowMillis);
    long missing = burstMillibytes - levelMillibytes;
    levelMillibytes += elapsed > missing / bytesPerSecond ? missing : elapsed * bytesPerSecond;
  }
}
