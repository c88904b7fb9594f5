package org.ragworttide.coordination.lease;

import java.util.Objects;
import org.ragworttide.coordination.group.GroupSize;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.group.VoterSettings;
import org.ragworttide.coordination.message.GroupMessage.Topic;

/**
 * The times of the leases, the same on all daemons of a fleet.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param size the size of the groups
 * @param leaseMillis how long a lease lasts on its owner's clock
 * @param tickMillis the time between two looks at what to renew or to campaign for
 */
public record LeaseSettings(GroupSize size, long leaseMillis, long tickMillis) {
  /** Leases for production. */
  public static final LeaseSettings DEFAULT = new LeaseSettings(GroupSize.FIVE, 3_000, 300);

  /** Checks that a lease outlasts several ticks. */
  public LeaseSettings {
    Objects.requireNonNull(size, "size");
    if (tickMillis <= 0 || leaseMillis < 8 * tickMillis) {
      throw new IllegalArgumentException("a lease must last eight ticks or more");
    }
  }

  /** Returns how long before its expiry a lease is renewed. */
  public long renewBeforeMillis() {
    return leaseMillis / 2;
  }

  /** Returns how long a candidate waits for votes before it gives them back. */
  public long campaignMillis() {
    return leaseMillis / 4;
  }

  /** Returns the settings of the voters for leases. */
  public VoterSettings voterSettings() {
    return new VoterSettings(
        Topic.LEASE, size, leaseMillis, leaseMillis, tickMillis, 2 * Shard.COUNT);
  }
}
