package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

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
    HttpRequest http, RequestHead head, ByteBuf body, long receivedAtMillis) {}
