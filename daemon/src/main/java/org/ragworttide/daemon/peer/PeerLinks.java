package org.ragworttide.daemon.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.protocol.PeerFrameCodec;
import org.ragworttide.protocol.wire.PeerFrame;
import reactor.netty.tcp.TcpClient;

/**
 * Sends messages to peers at the addresses in the VM list.
 *
 * <p>Invariants: one link per address in use; no message beyond the budget is sent. Confined to the
 * coordination thread.
 */
public final class PeerLinks implements Transport {
  private final TcpClient client;
  private final PeerIdentity self;
  private final PeerTraffic traffic;
  private final SendBudget budget;
  private final TimerService time;
  private final Function<VmId, Optional<String>> addresses;
  private final Map<VmId, AddressedLink> links = new HashMap<>();
  private final Map<Seed, PeerLink> seeds = new HashMap<>();

  /**
   * Creates links that open on demand.
   *
   * @param client opens connections, with TLS if the settings require it
   * @param budget limits the bytes per second; messages that exceed it are dropped
   * @param time the timer service
   * @param addresses returns the peer address of a VM as host and port
   */
  public PeerLinks(
      TcpClient client,
      PeerIdentity self,
      PeerTraffic traffic,
      SendBudget budget,
      TimerService time,
      Function<VmId, Optional<String>> addresses) {
    this.client = client;
    this.self = self;
    this.traffic = traffic;
    this.budget = budget;
    this.time = time;
    this.addresses = addresses;
  }

  @Override
  public void send(VmId to, PeerMessage message) {
    Optional<String> address = addresses.apply(to);
    PeerFrame frame = PeerFrameCodec.encode(message);
    if (address.isEmpty() || !budget.tryConsume(message, PeerFrames.sizeBytes(frame))) {
      traffic.droppedFrames.inc();
      return;
    }
    link(to, address.get()).offer(frame, time.nowMillis());
  }

  /** Records that a peer has sent a message, so that its link is not considered dead. */
  void recordReceived(VmId from) {
    AddressedLink link = links.get(from);
    if (link != null) {
      link.recordReceived();
    }
  }

  void sendToSeed(String host, int port, PeerMessage message) {
    PeerFrame frame = PeerFrameCodec.encode(message);
    if (!budget.tryConsume(message, PeerFrames.sizeBytes(frame))) {
      traffic.droppedFrames.inc();
      return;
    }
    seeds
        .computeIfAbsent(
            new Seed(host, port), seed -> new PeerLink(client, host, port, self, traffic))
        .offer(frame);
  }

  /** Closes all links after their queued frames are written. */
  public void close() {
    links.values().forEach(AddressedLink::dispose);
    links.clear();
    seeds.values().forEach(PeerLink::dispose);
    seeds.clear();
  }

  private AddressedLink link(VmId to, String address) {
    AddressedLink existing = links.get(to);
    if (existing != null && existing.hasAddress(address)) {
      return existing;
    }
    if (existing != null) {
      existing.dispose();
    }
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    AddressedLink link =
        new AddressedLink(address, new PeerLink(client, host, port, self, traffic));
    links.put(to, link);
    return link;
  }

  private record Seed(String host, int port) {}
}
