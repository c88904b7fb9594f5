package org.ragworttide.gateway.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.SplittableRandom;

/** Creates the responses to refused requests. Stateless. */
final class RefusalResponse {
  /** Mean milliseconds after which a refused caller may retry: the time to detect a failure. */
  private static final long MEAN_RETRY_AFTER_MILLIS = 250;

  /** Mean milliseconds after which callers that a stopping VM refuses may retry at other VMs. */
  private static final long STOPPING_RETRY_AFTER_MILLIS = 50;

  private static final double MILLIS_PER_SECOND = 1_000;

  private RefusalResponse() {}

  /**
   * Returns the response to a refused request.
   *
   * @param refusal why the request is refused
   * @param minDelayMillis milliseconds before which a retry would be refused as well, 0 if unknown
   * @param random randomizes the retry delay, so that refused callers do not retry at the same time
   */
  static FullHttpResponse of(Refusal refusal, long minDelayMillis, SplittableRandom random) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, refusal.status(), Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    if (refusal.isRetryable()) {
      long meanMillis =
          refusal == Refusal.STOPPING ? STOPPING_RETRY_AFTER_MILLIS : MEAN_RETRY_AFTER_MILLIS;
      long leastMillis = Math.max(minDelayMillis, meanMillis / 2);
      long spreadMillis = Math.max(meanMillis, leastMillis / 2);
      double seconds = (leastMillis + random.nextLong(spreadMillis)) / MILLIS_PER_SECOND;
      String text = String.format(Locale.ROOT, "%.2f", seconds);
      response.headers().set(HttpHeaderNames.RETRY_AFTER, text);
    }
    return response;
  }
}
