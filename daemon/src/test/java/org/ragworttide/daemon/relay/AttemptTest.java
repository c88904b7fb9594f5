package org.ragworttide.daemon.relay;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.decision.Deadline;
import org.ragworttide.daemon.decision.PlacementDecision;
import org.ragworttide.daemon.decision.PlacementRequest.Target;
import org.ragworttide.daemon.decision.RequestId;
import org.ragworttide.daemon.upstream.UpstreamClient;
import org.ragworttide.daemon.upstream.UpstreamRequest;
import org.ragworttide.daemon.upstream.UpstreamSettings;
import org.testng.annotations.Test;

/** Tests the outcome that an attempt reports when it is ended without an answer. */
public class AttemptTest {

  @Test
  public void upstreamThatNeverAnswersCountsAsStalled() throws InterruptedException {
    Attempt attempt = attempt(1);
    Thread.sleep(5);
    assertEquals(attempt.outcome(), new AttemptOutcome.Stalled());
  }

  @Test
  public void attemptEndedBeforeTheFirstByteIsDueCountsAsCancelled() {
    assertEquals(attempt(60_000).outcome(), new AttemptOutcome.Cancelled());
  }

  private static Attempt attempt(long firstByteMillis) {
    RelaySettings defaults = RelaySettings.defaults();
    RelaySettings settings =
        new RelaySettings(
            defaults.maxAttempts(),
            defaults.maxAnswerBytes(),
            defaults.maxEventBytes(),
            firstByteMillis,
            defaults.stallMillis(),
            defaults.lateAnswerMillis());
    return new Attempt(
        request(),
        new PlacementDecision.Placed(
            new UpstreamId("engine"),
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            outcome -> {}),
        settings,
        new UpstreamClient(UpstreamSettings.defaults(), Optional.empty()),
        () -> true,
        new StreamProgress());
  }

  private static CallerRequest request() {
    return new CallerRequest(
        new RequestId("id-1"),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Deadline.afterMillis(10_000),
        new Target.ServiceRoute("stock"),
        "00112233445566778899aabbccddeeff",
        false,
        new UpstreamRequest(HttpMethod.GET, "/stock", new DefaultHttpHeaders(), new byte[0], true));
  }
}
