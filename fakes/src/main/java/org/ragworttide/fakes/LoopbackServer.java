package org.ragworttide.fakes;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.function.Consumer;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** Starts the fakes' HTTP servers on loopback and parses query parameters; stateless. */
final class LoopbackServer {
  static final String HOST = "127.0.0.1";

  private LoopbackServer() {}

  static DisposableServer start(int port, Consumer<HttpServerRoutes> routes) {
    return HttpServer.create().host(HOST).port(port).route(routes).bindNow();
  }

  static Mono<byte[]> body(HttpServerRequest request) {
    return request.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]);
  }

  static Publisher<Void> json(HttpServerResponse response, Object value) {
    return response
        .header("Content-Type", "application/json")
        .sendByteArray(Mono.just(Json.bytes(value)));
  }

  static String text(HttpServerRequest request, String name, String defaultValue) {
    List<String> values = new QueryStringDecoder(request.uri()).parameters().get(name);
    return values == null ? defaultValue : values.get(0);
  }

  static long number(HttpServerRequest request, String name, long defaultValue) {
    return Long.parseLong(text(request, name, Long.toString(defaultValue)));
  }
}
