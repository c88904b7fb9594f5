package org.ragworttide.daemon.peer;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.protocol.PeerFrameCodec;
import org.ragworttide.protocol.wire.Hello;
import org.ragworttide.protocol.wire.PeerFrame;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.NettyOutbound;
import reactor.netty.tcp.TcpServer;

/**
 * Accepts connections of peers and passes their messages to the inbox.
 *
 * <p>Invariants: no message is passed on before the peer's {@code Hello} shows that it is a member
 * of the same fleet; an unreadable frame is counted and ignored. Safe for use by any thread.
 */
public final class PeerServer {
  private final PeerIdentity self;
  private final PeerInbox inbox;
  private final PeerTraffic traffic;

  /** Creates a server that listens after a call of {@link #bind}. */
  public PeerServer(PeerIdentity self, PeerInbox inbox, PeerTraffic traffic) {
    this.self = self;
    this.inbox = inbox;
    this.traffic = traffic;
  }

  /** Starts listening. */
  public Mono<? extends DisposableServer> bind(TcpServer server, String host, int port) {
    return server
        .host(host)
        .port(port)
        .doOnConnection(PeerFrames::install)
        .handle(this::serve)
        .bind();
  }

  private Mono<Void> serve(NettyInbound inbound, NettyOutbound outbound) {
    Session session = new Session();
    inbound.withConnection(connection -> session.connection = connection);
    return inbound.receive().doOnNext(session::accept).onErrorComplete().then();
  }

  /** State of one connection; confined to its event loop. */
  private final class Session {
    private Connection connection;
    private Hello peer;

    private void accept(ByteBuf buffer) {
      traffic.recordReceived(buffer.readableBytes() + Integer.BYTES);
      Optional<PeerFrame> frame = PeerFrames.read(buffer);
      if (frame.isEmpty()) {
        refuse("unreadable frame");
      } else if (frame.get().hasHello()) {
        acceptHello(frame.get().getHello());
      } else if (peer == null) {
        refuse("message before the introduction");
        connection.dispose();
      } else {
        deliver(frame.get());
      }
    }

    private void acceptHello(Hello hello) {
      boolean compatible =
          hello.getFleet().equals(self.fleet())
              && hello.getProtocolVersion() == PeerFrames.PROTOCOL_VERSION
              && !hello.getVm().isBlank();
      if (compatible) {
        peer = hello;
      } else {
        refuse("foreign introduction, fleet " + hello.getFleet());
        connection.dispose();
      }
    }

    private void deliver(PeerFrame frame) {
      Optional<PeerMessage> message = PeerFrameCodec.decode(frame);
      if (message.isEmpty()) {
        refuse("unknown message");
        return;
      }
      inbox.receive(new VmId(peer.getVm()), new Incarnation(peer.getIncarnation()), message.get());
    }

    private void refuse(String reason) {
      traffic.refusedFrames.inc();
      EventLog.log(LogEvent.PEER_FRAME_REFUSED, peer == null ? "unknown" : peer.getVm(), reason);
    }
  }
}
