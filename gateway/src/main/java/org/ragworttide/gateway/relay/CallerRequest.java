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
 * A caller's request, whole.
 *
 * <p>The exchange owns the body. Confined to the event loop.
 *
 * @param http method, target and headers as received
 * @param head what it says of itself
 * @param body the body
 * @param receivedAtMillis when its head was in
 */
public record CallerRequest(
    HttpRequest http, RequestHead head, ByteBuf body, long receivedAtMillis) {

  /**
   * Returns a hash of what the request asks for, the same when a caller sends it again.
   *
   * @param organisation the caller's organisation, empty on open routes
   */
  long fingerprint(String organisation) {
    CRC32C content = new CRC32C();
    for (ByteBuffer piece : body.nioBuffers()) {
      content.update(piece);
    }
    long text = Rendezvous.hash(http.method() + " " + http.uri() + " " + organisation);
    return Rendezvous.weight(text, content.getValue() << Integer.SIZE ^ body.readableBytes());
  }

  /** Returns the request for an upstream, with the headers given and a share of the body. */
  FullHttpRequest forwarded(HttpHeaders headers) {
    ByteBuf copy = body.retainedDuplicate();
    if (copy.isReadable() || http.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, copy.readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        http.method(),
        http.uri(),
        copy,
        headers,
        HttpHeaders.EMPTY_HEADERS.copy());
  }
}
