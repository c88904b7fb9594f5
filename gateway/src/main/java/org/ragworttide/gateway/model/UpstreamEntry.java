package org.ragworttide.gateway.model;

import java.net.InetSocketAddress;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * What an upstream publishes of itself.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param id the upstream
 * @param service the service it provides
 * @param address where it listens
 * @param zone its availability zone
 * @param slots how many requests it works on at a time
 * @param draining whether it is about to leave
 * @param coldLeftMillis how much longer it is in cold start
 * @param bornMillis Unix time of its start in milliseconds, 0 if unknown
 */
public record UpstreamEntry(
    UpstreamId id,
    ServiceName service,
    InetSocketAddress address,
    ZoneId zone,
    int slots,
    boolean draining,
    long coldLeftMillis,
    long bornMillis) {}
