package org.ragworttide.gateway.upstream;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/**
 * Failure to open a connection to an upstream.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param reason the reason, for logs
 * @param refused whether the upstream's machine refused the connection, because no process listens
 *     there; otherwise the network or the machine may have failed
 */
public record ConnectFailure(String reason, boolean refused) {

  static ConnectFailure of(Throwable cause) {
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return new ConnectFailure(cause.getClass().getSimpleName(), refused);
  }
}
