package org.ragworttide.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.gateway.relay.AnswerHead;
import org.ragworttide.gateway.relay.ForwardedHead;
import org.ragworttide.gateway.relay.RequestHead;

/** A dialect for tests: the headers id, key, deadline, receipt and not-run; stateless. */
public final class PlainDialect implements Dialect {

  @Override
  public RequestHead readRequest(HttpRequest request) {
    HttpHeaders headers = request.headers();
    String deadline = headers.get("deadline");
    return new RequestHead(
        headers.get("id", ""),
        deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline)),
        headers.get("key", ""),
        Optional.empty());
  }

  @Override
  public HttpHeaders toUpstream(HttpHeaders received, ForwardedHead forwarded) {
    HttpHeaders headers = received.copy();
    headers.remove("key").remove("content-length").remove("transfer-encoding");
    forwarded.resumeAfter().ifPresent(id -> headers.set("resume-after", id));
    return headers;
  }

  @Override
  public AnswerHead readAnswer(HttpResponse response) {
    HttpHeaders headers = response.headers();
    return new AnswerHead(
        headers.get("id", ""),
        headers.contains("receipt"),
        headers.contains("not-run"),
        headers.contains("content-encoding"),
        Optional.empty());
  }
}
