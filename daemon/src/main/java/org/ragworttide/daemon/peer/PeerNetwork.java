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
 * Joins a daemon to its peers: one listener and a link to each peer in use.
 *
 * <p>Sending is confined to the coordination thread; the rest is safe for use by any thread.
 */
public final class PeerNetwork implements Transport {
  private final PeerLinks links;
  private final PeerServer server;
  private final TcpServer listening;
  private volatile DisposableServer listener;

  /**
   * Creates the network without listening yet.
   *
   * @param self who this daemon is
   * @param inbox where messages of peers go
   * @param addresses tells a VM's peer address as host and port
   * @param budget bounds the bytes a second that are sent
   * @param time the timer service
   * @param metrics where traffic is counted
   * @param tls how peers prove who they are, empty for plain connections
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
    TcpClient client = tls.map(it -> it.secure(plain)).orElse(plain);
    this.listening = tls.map(it -> it.secure(TcpServer.create())).orElseGet(TcpServer::create);
    this.links = new PeerLinks(client, self, traffic, budget, time, addresses);
    this.server = new PeerServer(self, inbox, traffic);
  }

  /** Starts listening. */
  public Mono<Void> bind(String host, int port) {
    return server.bind(listening, host, port).doOnNext(it -> listener = it).then();
  }

  @Override
  public void send(VmId to, PeerMessage message) {
    links.send(to, message);
  }

  /** Notes that a peer has sent something; on the coordination thread. */
  public void heard(VmId from) {
    links.heard(from);
  }

  /** Sends to whoever listens at an address, as long as no list tells the peers' addresses. */
  public void sendToSeed(String host, int port, PeerMessage message) {
    links.sendToSeed(host, port, message);
  }

  /** Returns the port that the listener uses. */
  public int port() {
    return listener.port();
  }

  /** Stops listening and closes the links; on the coordination thread. */
  public void close() {
    links.close();
    if (listener != null) {
      listener.disposeNow();
    }
  }
}
