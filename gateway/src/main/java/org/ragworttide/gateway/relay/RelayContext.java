package org.ragworttide.gateway.relay;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.Dialect;
import org.ragworttide.gateway.upstream.UpstreamConnector;
import org.ragworttide.gateway.view.FleetView;

/**
 * What all exchanges of a gateway share.
 *
 * <p>Confined to the event loop.
 *
 * @param loop the event loop
 * @param time the time
 * @param view what the VM believes
 * @param dialect translates headers
 * @param connector gives connections
 * @param placement chooses upstreams
 * @param retries allows second sends
 * @param telemetry counts and logs
 * @param random spreads returns of refused callers
 * @param configurationDueMillis until when requests wait for the first configuration
 */
public record RelayContext(
    EventLoop loop,
    TimerService time,
    FleetView view,
    Dialect dialect,
    UpstreamConnector connector,
    Placement placement,
    RetryAllowances retries,
    Telemetry telemetry,
    SplittableRandom random,
    long configurationDueMillis) {}
