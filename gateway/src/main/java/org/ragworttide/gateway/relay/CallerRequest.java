package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.ragworttide.coordination.hash.Rendezvous;

/**
 * A caller's request that has been received completely.
 *
 * <p>The exchange owns the body. Confined to the event loop.
 *
 * @param http method, target and headers as received
 * @param metadata metadata decoded from the headers
 * @param body the body
 * @param receivedAtMillis when its headers were received completely
 */
public record CallerRequest(
    HttpRequest http, RequestMetadata metadata, ByteBuf body, long receivedAtMillis) {

  /**
   * Returns a hash of the request's method, target, organisation and body, which is the same when a
   * caller sends the request again.
   *
   * @param organisation the caller's organisation, empty if the route requires no key
   */
  long fingerprint(String organisation) {
    CRC32C content = new CRC32C();
    for (ByteBuffer piece : body.nioBuffers()) {
      content.update(piece);
    }
    long text = Rendezvous.hash(http.method() + " " + http.uri() + " " + organisation);
    return Rendezvous.weight(text, content.getValue() << Integer.SIZE ^ body.readableBytes());
  }

  /**
   * Returns the request for an upstream, with the given headers; the body shares the same buffer.
   */
  FullHttpRequest toUpstream(HttpHeaders headers) {
    ByteBuf shared = body.retainedDuplicate();
    if (shared.isReadable() || http.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, shared.readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        http.method(),
        http.uri(),
        shared,
        headers,
        HttpHeaders.EMPTY_HEADERS.copy());
  }
}
