package org.ragworttide.daemon.peer;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.function.Function;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.tls.PeerTls;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Connects a daemon to its peers with one listener and a link to each peer in use.
 *
 * <p>Sending is confined to the coordination thread; all other methods are safe for use by any
 * thread.
 */
public final class PeerNetwork implements Transport {
  private final PeerLinks links;
  private final PeerServer server;
  private final TcpServer tcpServer;
  private volatile DisposableServer listener;

  /**
   * Creates the network without listening yet.
   *
   * @param self the identity of this daemon
   * @param inbox receives the messages of peers
   * @param addresses returns the peer address of a VM as host and port
   * @param budget limits the bytes sent per second
   * @param time the timer service
   * @param metrics registry for the traffic counters
   * @param tls mutual authentication of peers, empty for plain connections
   */
  public PeerNetwork(
      PeerIdentity self,
      PeerInbox inbox,
      Function<VmId, Optional<String>> addresses,
      SendBudget budget,
      TimerService time,
      MetricRegistry metrics,
      Optional<PeerTls> tls) {
    PeerTraffic traffic = new PeerTraffic(metrics);
    TcpClient plain = TcpClient.newConnection();
    TcpClient client = tls.map(peerTls -> peerTls.secure(plain)).orElse(plain);
    this.tcpServer =
        tls.map(peerTls -> peerTls.secure(TcpServer.create())).orElseGet(TcpServer::create);
    this.links = new PeerLinks(client, self, traffic, budget, time, addresses);
    this.server = new PeerServer(self, inbox, traffic);
  }

  /** Starts listening. */
  public Mono<Void> bind(String host, int port) {
    return server.bind(tcpServer, host, port).doOnNext(bound -> listener = bound).then();
  }

  @Override
  public void send(VmId to, PeerMessage message) {
    links.send(to, message);
  }

  /** Records that a peer has sent a message; called on the coordination thread. */
  public void recordReceived(VmId from) {
    links.recordReceived(from);
  }

  /**
   * Sends to an address from the settings, for use before a VM list provides the addresses of
   * peers.
   */
  public void sendToSeed(String host, int port, PeerMessage message) {
    links.sendToSeed(host, port, message);
  }

  /** Returns the port that the listener uses. */
  public int port() {
    return listener.port();
  }

  /** Stops listening and closes the links; called on the coordination thread. */
  public void close() {
    links.close();
    if (listener != null) {
      listener.disposeNow();
    }
  }
}
