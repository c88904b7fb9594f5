package org.ragworttide.gateway.model;

/**
 * Settings for the upstreams of a service.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param name the service
 * @param canFetchCache whether an engine can fetch a prompt's KV cache from another
 */
public record ServicePolicy(ServiceName name, boolean canFetchCache) {}
