package org.ragworttide.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * The settings of a gateway.
 *
 * <p>Invariant: the grace period is positive and the limits on retries are in range. Immutable,
 * safe for use by any thread.
 *
 * @param vm this VM
 * @param zone its availability zone
 * @param callers the address for callers
 * @param readiness the address for the platform's readiness checks
 * @param peers the address for statements of peers
 * @param seeds addresses of some VMs, which may no longer exist
 * @param metrics the address for metrics scrapers; metrics are not served if it is empty
 * @param retryRatio retries that the fleet may send for each request
 * @param retrySlack retries beyond the ratio, over all VMs
 * @param graceMillis the grace period: the longest duration of a stop
 * @param zones the ways between availability zones
 */
public record GatewaySettings(
    VmId vm,
    ZoneId zone,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    InetSocketAddress peers,
    List<InetSocketAddress> seeds,
    Optional<InetSocketAddress> metrics,
    double retryRatio,
    int retrySlack,
    long graceMillis,
    ZoneSettings zones) {

  /** Checks the ranges. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
    if (graceMillis <= 0 || retrySlack < 0 || !(retryRatio >= 0 && retryRatio <= 1)) {
      throw new IllegalArgumentException("graceMillis, retrySlack or retryRatio is out of range");
    }
  }
}
