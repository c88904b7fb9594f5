package org.ragworttide.gateway.model;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.streams.SoftwareVersion;

/**
 * Entry that an upstream publishes about itself.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param id the upstream's id
 * @param service the service it provides
 * @param address the address on which it listens
 * @param zone its availability zone
 * @param slots the number of requests that it runs at a time
 * @param draining whether it accepts no new requests because it is about to stop
 * @param coldRemainingMillis remaining milliseconds of its cold start
 * @param startedAtMillis Unix time of its start in milliseconds, 0 if unknown
 * @param version the version of its software, empty if unknown
 */
public record UpstreamEntry(
    UpstreamId id,
    ServiceName service,
    InetSocketAddress address,
    ZoneId zone,
    int slots,
    boolean draining,
    long coldRemainingMillis,
    long startedAtMillis,
    Optional<String> version) {

  /** Returns the version that streams of the upstream belong to. */
  public SoftwareVersion softwareVersion() {
    return version
        .map(it -> SoftwareVersion.of(service.value(), it))
        .orElseGet(() -> SoftwareVersion.unstated(id, startedAtMillis));
  }
}
