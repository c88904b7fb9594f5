package org.ragworttide.daemon.relay;

import org.ragworttide.coordination.retry.RetryBudget;
import org.ragworttide.daemon.decision.Claims;
import org.ragworttide.daemon.decision.Placement;
import org.ragworttide.daemon.decision.RateLimits;

/**
 * Ports through which the relay obtains its decisions.
 *
 * <p>The relay switches to another thread before it acts on a decision. Immutable, safe for use by
 * any thread.
 *
 * @param rates admits requests within rates
 * @param claims grants the right to run non-idempotent requests
 * @param placement chooses upstreams
 * @param retries limits the number of retries
 */
public record RelayPorts(
    RateLimits rates, Claims claims, Placement placement, RetryBudget retries) {}
