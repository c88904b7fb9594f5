package org.ragworttide.gateway.relay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an upstream's answer to a health check says.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param healthy whether it takes requests
 * @param instance the upstream that answered, if it tells
 * @param coldLeftMillis how much longer it is in cold start, if it tells
 */
public record HealthAnswer(
    boolean healthy, Optional<String> instance, OptionalLong coldLeftMillis) {}
