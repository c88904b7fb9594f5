package org.ragworttide.gateway.relay;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import org.ragworttide.coordination.admission.StopAdmission;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.HeaderCodec;
import org.ragworttide.gateway.peer.BrittleUpstreams;
import org.ragworttide.gateway.peer.ColdStarts;
import org.ragworttide.gateway.peer.StreamDirectory;
import org.ragworttide.gateway.view.FleetView;

/**
 * State and collaborators that all exchanges of a gateway share.
 *
 * <p>Confined to the event loop.
 *
 * @param loop the event loop
 * @param time the clock and timers of the event loop
 * @param view the VM's view of the fleet
 * @param headerCodec decodes and encodes headers
 * @param paths connects to upstreams
 * @param placement chooses upstreams
 * @param stopAdmission decides which requests may be passed on while the VM is being stopped
 * @param zones finds out which availability zones cannot be reached
 * @param traffic the share of requests that leaves the availability zone
 * @param crashCheck finds out whether upstreams have crashed
 * @param streams the versions that began streams
 * @param soleVersions finds the versions of streams that no VM remembers
 * @param coldStarts permits requests to cold upstreams
 * @param brittle permits requests to brittle upstreams
 * @param retries limits retries
 * @param telemetry updates metrics and logs events
 * @param random randomizes the delays after which refused callers may retry
 * @param configurationDeadlineMillis time until which requests wait for the first configuration
 */
public record RelayContext(
    EventLoop loop,
    TimerService time,
    FleetView view,
    HeaderCodec headerCodec,
    UpstreamPaths paths,
    Placement placement,
    StopAdmission stopAdmission,
    ZoneWatch zones,
    ZoneTraffic traffic,
    CrashCheck crashCheck,
    StreamDirectory streams,
    SoleVersionLookup soleVersions,
    ColdStarts coldStarts,
    BrittleUpstreams brittle,
    RetryBudgets retries,
    Telemetry telemetry,
    SplittableRandom random,
    long configurationDeadlineMillis) {}
