package org.ragworttide.daemon.relay;

import org.ragworttide.coordination.retry.RetryBudget;
import org.ragworttide.daemon.decision.Claims;
import org.ragworttide.daemon.decision.Placement;
import org.ragworttide.daemon.decision.RateLimits;

/**
 * The decisions that the relay asks for.
 *
 * <p>The relay leaves the thread on which a decision comes before it acts on it. Immutable, safe
 * for use by any thread.
 *
 * @param rates admits requests within rates
 * @param claims grants runs of non-idempotent requests
 * @param placement chooses upstreams
 * @param retries bounds further attempts
 */
public record RelayPorts(
    RateLimits rates, Claims claims, Placement placement, RetryBudget retries) {}
