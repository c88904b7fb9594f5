package org.ragworttide.gateway.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and refuses those that state their length in two ways; for one connection. */
final class StrictRequestDecoder extends HttpRequestDecoder {

  StrictRequestDecoder(int headerBytes) {
    super(
        new HttpDecoderConfig().setMaxInitialLineLength(headerBytes).setMaxHeaderSize(headerBytes));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
  }
}
