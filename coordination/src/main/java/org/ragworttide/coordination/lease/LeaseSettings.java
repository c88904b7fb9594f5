package org.ragworttide.coordination.lease;

import java.util.Objects;
import org.ragworttide.coordination.group.GroupSize;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.group.VoterSettings;
import org.ragworttide.coordination.message.GroupMessage.Topic;

/**
 * Time settings of the leases, which must be the same on all daemons of a fleet.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param size the size of the groups
 * @param leaseMillis how long a lease lasts on its owner's clock
 * @param tickMillis the period of the checks for leases to renew or to campaign for
 */
public record LeaseSettings(GroupSize size, long leaseMillis, long tickMillis) {
  /** The settings for production. */
  public static final LeaseSettings DEFAULT = new LeaseSettings(GroupSize.FIVE, 3_000, 300);

  /** Checks that a lease lasts at least eight ticks. */
  public LeaseSettings {
    Objects.requireNonNull(size, "size");
    if (tickMillis <= 0 || leaseMillis < 8 * tickMillis) {
      throw new IllegalArgumentException(
          "leaseMillis must be at least eight times tickMillis, which must be positive");
    }
  }

  /** Returns how long before its expiry a lease is renewed. */
  public long renewBeforeMillis() {
    return leaseMillis / 2;
  }

  /** Returns how long a candidate waits for votes before it releases them. */
  public long campaignMillis() {
    return leaseMillis / 4;
  }

  /** Returns the settings of the voters for leases. */
  public VoterSettings voterSettings() {
    return new VoterSettings(
        Topic.LEASE, size, leaseMillis, leaseMillis, tickMillis, 2 * Shard.COUNT);
  }
}
