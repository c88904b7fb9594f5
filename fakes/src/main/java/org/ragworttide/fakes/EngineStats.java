package org.ragworttide.fakes;

/**
 * Counters of a fake engine; immutable.
 *
 * @param arrivals requests that arrived
 * @param completed requests that the engine answered whole
 * @param cancels requests that the router cancelled
 * @param inFlight requests in flight
 * @param maxInFlight maximum number of requests in flight
 * @param hits requests whose chat was in the prefix cache
 * @param keysSeen requests that carried a caller's key
 * @param crashes number of crashes
 * @param incarnation increases with each restart
 */
public record EngineStats(
    int arrivals,
    int completed,
    int cancels,
    int inFlight,
    int maxInFlight,
    int hits,
    int keysSeen,
    int crashes,
    long incarnation) {}
