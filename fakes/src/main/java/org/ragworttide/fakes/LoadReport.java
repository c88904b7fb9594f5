package org.ragworttide.fakes;

/**
 * An engine's report of its load as the platform publishes it; immutable.
 *
 * @param upstream the engine's id
 * @param incarnation grows with each restart of the engine
 * @param running requests in flight
 * @param waiting requests that wait for a place in the batch
 * @param atMillis when it was taken, in the engine's milliseconds
 */
public record LoadReport(
    String upstream, long incarnation, int running, int waiting, long atMillis) {}
