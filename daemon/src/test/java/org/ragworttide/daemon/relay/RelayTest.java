package org.ragworttide.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.retry.RetryBudget;
import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.decision.ClaimDecision;
import org.ragworttide.daemon.decision.ClaimHandle;
import org.ragworttide.daemon.decision.Deadline;
import org.ragworttide.daemon.decision.PlacementDecision;
import org.ragworttide.daemon.decision.PlacementRequest.Target;
import org.ragworttide.daemon.decision.RateDecision;
import org.ragworttide.daemon.decision.RequestId;
import org.ragworttide.daemon.metrics.PathMetrics;
import org.ragworttide.daemon.upstream.UpstreamClient;
import org.ragworttide.daemon.upstream.UpstreamRequest;
import org.ragworttide.daemon.upstream.UpstreamSettings;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Tests that slots and claims that arrive after the caller has disconnected are released or
 * reported as not run.
 */
public final class RelayTest implements ClaimHandle {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final Sinks.One<PlacementDecision> placement = Sinks.one();
  private final CountDownLatch placing = new CountDownLatch(1);
  private final Sinks.One<ClaimDecision> claim = Sinks.one();
  private final List<String> reports = new CopyOnWriteArrayList<>();
  private final BlockingQueue<AttemptOutcome> releases = new LinkedBlockingQueue<>();
  private final RelayPorts ports =
      new RelayPorts(
          (organisation, request) -> Mono.just(new RateDecision.Admitted()),
          (organisation, key) -> claim.asMono(),
          request -> placement.asMono().doOnSubscribe(unused -> placing.countDown()),
          new RetryBudget(0, 0));
  private final Relay relay =
      new Relay(
          ports,
          RelaySettings.defaults(),
          new UpstreamClient(UpstreamSettings.defaults(), Optional.empty()),
          new PathMetrics(new MetricRegistry()));

  @Override
  public void reportCompleted(int status, String contentType, byte[] body) {
    reports.add("completed");
  }

  @Override
  public void reportNotRun() {
    reports.add("not run");
  }

  @Override
  public void reportMayHaveRun() {
    reports.add("may have run");
  }

  @Test
  public void slotThatArrivesAfterTheCallerDisconnectedIsReleased() throws Exception {
    Disposable caller = relay.answer(request(true), Mono.never()).subscribe();
    assertTrue(placing.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    caller.dispose();
    placement.tryEmitValue(
        new PlacementDecision.Placed(
            new UpstreamId("engine"),
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            releases::add));
    assertEquals(
        releases.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS), new AttemptOutcome.Cancelled());
    assertTrue(releases.isEmpty());
  }

  @Test
  public void claimGrantedAfterTheCallerDisconnectedIsReportedAsNotRun() {
    Disposable caller = relay.answer(request(false), Mono.never()).subscribe();
    caller.dispose();
    claim.tryEmitValue(new ClaimDecision.Granted(this));
    relay.claimedRuns().whenIdle().block(TIMEOUT);
    assertEquals(reports, List.of("not run"));
  }

  private static CallerRequest request(boolean idempotent) {
    return new CallerRequest(
        new RequestId("id-1"),
        Optional.of(new OrganisationId("hotel")),
        Optional.empty(),
        Optional.of(new RequestKey("k-1")),
        Deadline.afterMillis(10_000),
        new Target.ServiceRoute("bookings"),
        "00112233445566778899aabbccddeeff",
        false,
        new UpstreamRequest(
            HttpMethod.POST, "/bookings", new DefaultHttpHeaders(), new byte[0], idempotent));
  }
}
