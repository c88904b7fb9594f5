package org.ragworttide.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * The settings of a gateway.
 *
 * <p>Invariant: durations are positive. Immutable, safe for use by any thread.
 *
 * @param vm this VM
 * @param zone its availability zone
 * @param callers where callers connect
 * @param readiness where the platform asks whether the VM takes callers
 * @param peers where other VMs tell their load
 * @param seeds addresses of some VMs, which may be gone
 * @param metrics where metrics are served, if they are
 * @param retryRatio retries that the fleet may send for one request
 * @param retrySlack retries beyond that, over all VMs
 * @param graceMillis how long a stop may take
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
    long graceMillis) {

  /** Checks the ranges. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
    if (graceMillis <= 0 || retrySlack < 0 || !(retryRatio >= 0 && retryRatio <= 1)) {
      throw new IllegalArgumentException("settings of the gateway are out of range");
    }
  }
}
