package org.ragworttide.bench.coordination;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.limits.RateLimit;

/**
 * Baseline rate limiter: each VM independently admits an equal share of the rate and the burst.
 *
 * <p>Invariant: the shares divide the limits by the maximum number of VMs, so that the fleet can
 * never exceed the limits. Not safe for use by several threads.
 */
final class FixedShares {
  private final Map<OrganisationId, RateLimit> limits;
  private final int vms;
  private final Map<String, Bucket> buckets = new HashMap<>();

  FixedShares(Map<OrganisationId, RateLimit> limits, int vms) {
    this.limits = limits;
    this.vms = vms;
  }

  boolean tryAdmit(OrganisationId id, int vm, long nowMillis) {
    RateLimit limit = limits.get(id);
    Bucket bucket = buckets.computeIfAbsent(id + "/" + vm, key -> new Bucket(limit.burst() / vms));
    double refill = limit.ratePerSecond() / vms * (nowMillis - bucket.atMillis) / 1_000;
    bucket.level = Math.min(limit.burst() / vms, bucket.level + refill);
    bucket.atMillis = nowMillis;
    if (bucket.level < 1) {
      return false;
    }
    bucket.level -= 1;
    return true;
  }

  private static final class Bucket {
    private double level;
    private long atMillis;

    private Bucket(double level) {
      this.level = level;
    }
  }
}
