package org.ragworttide.gateway.model;

/**
 * What holds for the upstreams of a service.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param name the service
 * @param healthPath where an upstream's health is asked
 * @param maxConnections connections that an upstream accepts from all callers
 * @param engine whether the upstreams are model engines
 * @param fetches whether an engine can fetch a prompt's memory from another
 */
public record ServicePolicy(
    ServiceName name, String healthPath, int maxConnections, boolean engine, boolean fetches) {}
