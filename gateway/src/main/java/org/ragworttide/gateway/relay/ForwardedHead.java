package org.ragworttide.gateway.relay;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * What the gateway tells an upstream with a request.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param target the upstream that is meant
 * @param leftMillis how long the caller still waits
 * @param organisation the organisation of the caller's key
 * @param priority the request's rank, 0 is the most urgent
 * @param resumeAfter the last event that the caller has, to continue a stream
 * @param holder an engine from which the prompt's memory can be fetched
 */
public record ForwardedHead(
    UpstreamId target,
    OptionalLong leftMillis,
    Optional<String> organisation,
    OptionalInt priority,
    Optional<String> resumeAfter,
    Optional<InetSocketAddress> holder) {}
