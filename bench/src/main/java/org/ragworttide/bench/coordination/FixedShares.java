package org.ragworttide.bench.coordination;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.limits.RateLimit;

/**
 * The baseline: each VM admits its equal part of rate and burst on its own.
 *
 * <p>Invariant: the parts are those of the most VMs that may run, as the bound needs. Not safe for
 * use by several threads.
 */
final class FixedShares {
  private final Map<OrganisationId, RateLimit> table;
  private final int vms;
  private final Map<String, Bucket> buckets = new HashMap<>();

  FixedShares(Map<OrganisationId, RateLimit> table, int vms) {
    this.table = table;
    this.vms = vms;
  }

  boolean admit(OrganisationId id, int vm, long nowMillis) {
    RateLimit limit = table.get(id);
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
