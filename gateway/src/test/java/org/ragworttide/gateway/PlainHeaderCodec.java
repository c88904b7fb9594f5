package org.ragworttide.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.gateway.relay.ForwardedMetadata;
import org.ragworttide.gateway.relay.RequestMetadata;
import org.ragworttide.gateway.relay.ResponseMetadata;
import org.ragworttide.gateway.relay.UpstreamStatement;

/**
 * Header codec for tests, with the headers id, key, deadline, resume-after, receipt and not-run.
 * Stateless.
 */
public final class PlainHeaderCodec implements HeaderCodec {

  @Override
  public RequestMetadata readRequest(HttpRequest request) {
    HttpHeaders headers = request.headers();
    String deadline = headers.get("deadline");
    return new RequestMetadata(
        headers.get("id", ""),
        deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline)),
        headers.get("key", ""),
        Optional.empty(),
        Optional.empty());
  }

  @Override
  public HttpHeaders toUpstream(HttpHeaders received, ForwardedMetadata forwarded) {
    HttpHeaders headers = received.copy();
    headers.remove("key").remove("content-length").remove("transfer-encoding");
    forwarded.resumeAfter().ifPresent(id -> headers.set("resume-after", id));
    return headers;
  }

  @Override
  public ResponseMetadata readResponse(HttpResponse response) {
    HttpHeaders headers = response.headers();
    return new ResponseMetadata(
        headers.get("id", ""),
        headers.contains("receipt"),
        headers.contains("not-run"),
        headers.contains("content-encoding"),
        Optional.empty(),
        UpstreamStatement.NONE);
  }
}
