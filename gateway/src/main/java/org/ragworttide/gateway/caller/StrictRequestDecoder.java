package org.ragworttide.gateway.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes the requests of one connection and rejects those that specify their length in two ways.
 */
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
