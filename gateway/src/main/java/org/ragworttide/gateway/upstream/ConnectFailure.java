package org.ragworttide.gateway.upstream;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.Optional;
import org.ragworttide.gateway.tunnel.TunnelReply;

/**
 * Failure to open a connection to an upstream.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param reason the reason, for logs
 * @param kind what it tells of the upstream
 * @param tunnelled whether another VM was asked to open the connection
 */
public record ConnectFailure(String reason, Kind kind, boolean tunnelled) {

  /** What a failure tells of the upstream. */
  public enum Kind {
    /** Its machine refused the connection, because no process listens there or the way is cut. */
    REFUSED,
    /** Nobody answered: the network or the machine may have failed. */
    SILENT,
    /** Nothing, because the asked VM does not know it, or it wants no requests from that VM. */
    DECLINED,
    /** Nothing, because no VM has tried to connect to it. */
    NOT_TRIED
  }

  /** Returns whether the upstream's machine refused the connection. */
  public boolean refused() {
    return kind == Kind.REFUSED;
  }

  /** Returns whether a VM has tried to connect to the upstream. */
  public boolean isVerdictOnUpstream() {
    return kind == Kind.REFUSED || kind == Kind.SILENT;
  }

  /** Returns the failure of a connection that this VM tried to open. */
  public static ConnectFailure of(Throwable cause) {
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return new ConnectFailure(
        cause.getClass().getSimpleName(), refused ? Kind.REFUSED : Kind.SILENT, false);
  }

  /** Returns the failure that another VM's reply tells of, or its silence. */
  static ConnectFailure of(Optional<TunnelReply> reply) {
    Kind kind =
        switch (reply.orElse(TunnelReply.BUSY)) {
          case REFUSED -> Kind.REFUSED;
          case SILENT -> Kind.SILENT;
          case UNAVAILABLE -> Kind.DECLINED;
          default -> Kind.NOT_TRIED;
        };
    return new ConnectFailure("no tunnel, " + reply.map(Enum::name).orElse("no reply"), kind, true);
  }
}
