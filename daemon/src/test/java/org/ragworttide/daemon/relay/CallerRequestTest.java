package org.ragworttide.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.ragworttide.daemon.decision.Deadline;
import org.ragworttide.daemon.decision.PlacementRequest.Target;
import org.ragworttide.daemon.decision.RequestId;
import org.ragworttide.daemon.upstream.UpstreamRequest;
import org.testng.annotations.Test;

/** Tests which requests rate limits count as one, and that a non-idempotent request needs a key. */
public final class CallerRequestTest {

  @Test
  public void retrySharesTheDeduplicationIdAndOtherRequestsDoNot() {
    RequestId first = request("id-1", "aa", true).deduplicationId();
    assertEquals(request("id-1", "aa", true).deduplicationId(), first);
    assertNotEquals(request("id-1", "bb", true).deduplicationId(), first);
    assertNotEquals(request("id-2", "aa", true).deduplicationId(), first);
  }

  @Test
  public void nonIdempotentRequestNeedsKey() {
    assertThrows(IllegalArgumentException.class, () -> request("id-1", "aa", false));
  }

  private static CallerRequest request(String id, String fingerprint, boolean idempotent) {
    return new CallerRequest(
        new RequestId(id),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Deadline.afterMillis(1_000),
        new Target.ServiceRoute("stock"),
        fingerprint,
        false,
        new UpstreamRequest(
            HttpMethod.GET, "/stock", new DefaultHttpHeaders(), new byte[0], idempotent));
  }
}
