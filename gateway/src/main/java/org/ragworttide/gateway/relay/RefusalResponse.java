package org.ragworttide.gateway.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.SplittableRandom;

/** Writes refusals as answers; holds no state. */
final class RefusalResponse {
  /** Milliseconds after which a refused caller may return, in the mean: one failure detection. */
  private static final long RETURN_MILLIS = 250;

  private static final double MILLIS_PER_SECOND = 1_000;

  private RefusalResponse() {}

  /**
   * Returns the answer.
   *
   * @param refusal why the request is refused
   * @param random spreads returns, so that refused callers do not come back together
   */
  static FullHttpResponse of(Refusal refusal, SplittableRandom random) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, refusal.status(), Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    if (refusal.isReturnable()) {
      double seconds = (RETURN_MILLIS / 2 + random.nextLong(RETURN_MILLIS)) / MILLIS_PER_SECOND;
      String text = String.format(Locale.ROOT, "%.2f", seconds);
      response.headers().set(HttpHeaderNames.RETRY_AFTER, text);
    }
    return response;
  }
}
