package org.ragworttide.fakes;

/**
 * What a stand-in engine has counted; immutable.
 *
 * @param arrivals requests that arrived
 * @param completed requests that were answered whole
 * @param cancels requests that the router cancelled
 * @param inFlight requests that run
 * @param maxInFlight most requests that ran at once
 * @param hits requests whose chat was in memory
 * @param keysSeen requests that carried a caller's key
 * @param crashes how often it crashed
 * @param incarnation grows with each restart
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
