package org.ragworttide.coordination.routing;

import org.ragworttide.coordination.id.UpstreamId;

/**
 * Load that an engine reports some time after it was measured.
 *
 * <p>The values are as received; the router checks them before use. Immutable, safe for use by any
 * thread.
 *
 * @param upstream the engine
 * @param incarnation identifies the run of the engine's process
 * @param measuredAtMillis when the load was measured, in the time of this process's timer service
 * @param running number of requests that are generating
 * @param waiting number of requests that are queued inside the engine
 */
public record LoadReport(
    UpstreamId upstream, long incarnation, long measuredAtMillis, long running, long waiting) {}
