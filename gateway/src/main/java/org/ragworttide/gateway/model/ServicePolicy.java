package org.ragworttide.gateway.model;

/**
 * Settings for the upstreams of a service.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param name the service
 * @param canFetchCache whether an engine can fetch a prompt's KV cache from another
 * @param coldPerSecond requests per second that all VMs together may send to an upstream while it
 *     is cold, 0 if unknown
 */
public record ServicePolicy(ServiceName name, boolean canFetchCache, double coldPerSecond) {

  /** Takes a rate that is no positive number for an unknown one. */
  public ServicePolicy {
    coldPerSecond = coldPerSecond > 0 ? coldPerSecond : 0;
  }
}
