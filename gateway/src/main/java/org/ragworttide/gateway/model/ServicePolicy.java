package org.ragworttide.gateway.model;

/**
 * What holds for the upstreams of a service.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param name the service
 * @param fetches whether an engine can fetch a prompt's memory from another
 */
public record ServicePolicy(ServiceName name, boolean fetches) {}
