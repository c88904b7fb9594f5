package org.ragworttide.gateway.relay;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Metadata that the gateway sends to an upstream with a request.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param target the upstream that the request is addressed to
 * @param remainingMillis milliseconds until the request's deadline, empty if it has none
 * @param organisation the organisation of the caller's key
 * @param priority the request's priority, 0 is the most urgent
 * @param resumeAfter the id of the last event that the caller received, if a stream is continued
 * @param fetchSource an engine from which the prompt's KV cache can be fetched
 */
public record ForwardedMetadata(
    UpstreamId target,
    OptionalLong remainingMillis,
    Optional<String> organisation,
    OptionalInt priority,
    Optional<String> resumeAfter,
    Optional<InetSocketAddress> fetchSource) {}
