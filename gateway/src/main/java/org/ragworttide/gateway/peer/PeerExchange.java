package org.ragworttide.gateway.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.LimitRotation;
import org.ragworttide.coordination.placement.LoadReport;
import org.ragworttide.coordination.placement.LoadReportSelection;
import org.ragworttide.coordination.placement.PromptIndex;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.coordination.zones.TunnelPeers;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.GatewaySettings;
import org.ragworttide.gateway.feed.ChangeFeed;
import org.ragworttide.gateway.feed.FeedAddress;
import org.ragworttide.gateway.relay.RelayContext;
import org.ragworttide.gateway.relay.ZoneTraffic;
import org.ragworttide.gateway.relay.ZoneWatch;
import org.ragworttide.gateway.view.FleetView;

/**
 * Broadcasts this VM's statements to its peers and receives theirs.
 *
 * <p>Invariants: lost, late or duplicate datagrams are harmless; the bytes sent per second stay
 * within the budget for any size of the fleet. Confined to the event loop.
 */
public final class PeerExchange {
  /** Milliseconds between broadcasts; in a small fleet, each broadcast reaches all VMs. */
  private static final long PERIOD_MILLIS = 150;

  /** Bytes per second that a VM may send: the target for control traffic. */
  private static final int BYTES_PER_SECOND = 4_096;

  /**
   * Milliseconds after which a peer that no VM has heard is removed: in a fleet of a hundred, a VM
   * receives a statement from each peer about every fifteen seconds.
   */
  private static final long PEER_TIMEOUT_MILLIS = 30_000;

  /** Addresses in a statement: enough to discover all VMs of a small fleet with one statement. */
  private static final int MAX_KNOWN_PEERS = 16;

  /**
   * Number of periods between discovery statements, which include the addresses of known peers and
   * are also sent to the seeds that are not known peers.
   */
  private static final int DISCOVERY_PERIODS = 6;

  /**
   * Milliseconds after a start, and after a VM was discovered, in which each statement includes
   * addresses: all VMs of a large fleet, started together, then know each other within seconds.
   */
  private static final long DISCOVERY_MILLIS = 3_000;

  /** Cached prompt parts in a statement, ten bytes each: half of its size in a small fleet. */
  private static final int MAX_HOLDINGS = 32;

  /** Leaving upstreams in a statement, six bytes each. */
  private static final int MAX_LEAVING = 8;

  /**
   * VMs that are assumed to share the limits of upstreams while none is known, as for cold
   * upstreams: this VM may be cut off from them.
   */
  private static final int ASSUMED_VMS = 10;

  /**
   * Number of VMs above which a broadcast reaches {@link #MAX_SAMPLED_PEERS} random ones: no budget
   * would let statements of all reach all within a second, and each costs processor time.
   */
  private static final int SMALL_FLEET_VMS = 16;

  /** Statements that a VM of a large fleet sends and receives in a period. */
  private static final int MAX_SAMPLED_PEERS = 2;

  private static final long MILLIS_PER_SECOND = 1_000;

  private final VmId vm;
  private final InetSocketAddress address;
  private final List<InetSocketAddress> seeds;
  private final FleetView view;
  private final TimerService time;
  private final long incarnation = System.currentTimeMillis();
  private final Random random = new Random();
  private final ZoneId zone;
  private final ChangeFeed feed;
  private final StreamDirectory streams;
  private final ColdStarts coldStarts;
  private final BrittleUpstreams brittle;
  private final CarriedPauses pauses;
  private final ZoneWatch zones;
  private final TunnelPeers tunnelPeers;
  private final ZoneTraffic traffic;
  private final Counter bytesSent;
  private final Counter bytesReceived;
  private final Map<Long, KnownPeer> peers = new HashMap<>();
  private final RepeatedItems<PromptIndex.Holding> holdings = new RepeatedItems<>(MAX_HOLDINGS);
  private final LimitRotation limits = new LimitRotation();
  private final RepeatedItems<Integer> leaving = new RepeatedItems<>(MAX_LEAVING);
  private final LoadReportSelection reports = new LoadReportSelection();
  private final Set<Integer> statedLeaving = new HashSet<>();
  private Channel channel;
  private long sequence;
  private int bytesSinceBroadcast;
  private long discoveredAtMillis;
  private boolean membersChanged;

  private record KnownPeer(FeedMember member, InetSocketAddress address, long heardAtMillis) {
    private KnownPeer heardAt(long millis) {
      return new KnownPeer(member, address, millis);
    }
  }

  /**
   * Creates an exchange that is not listening yet.
   *
   * @param settings this VM, the address on which it listens and addresses of some VMs
   * @param view the VM's view of the fleet
   * @param feed the changes of the store, which receives the known VMs
   * @param context the parts whose knowledge VMs tell each other, and the metrics, which receive
   *     the numbers of bytes
   * @param time the clock and timers of the event loop
   */
  public PeerExchange(
      GatewaySettings settings,
      FleetView view,
      ChangeFeed feed,
      RelayContext context,
      TimerService time) {
    MetricRegistry metrics = context.telemetry().metrics();
    this.bytesSent = metrics.counter("gateway_peer_bytes_sent");
    this.bytesReceived = metrics.counter("gateway_peer_bytes_received");
    this.vm = settings.vm();
    this.zone = settings.zone();
    this.address = settings.peers();
    this.seeds = settings.seeds();
    this.view = view;
    this.feed = feed;
    this.streams = context.streams();
    this.coldStarts = context.coldStarts();
    this.brittle = context.brittle();
    this.pauses = context.paths().pauses();
    this.zones = context.zones();
    this.tunnelPeers = context.paths().peers();
    this.traffic = context.traffic();
    this.time = time;
    this.discoveredAtMillis = time.nowMillis();
    if (!seeds.stream().allMatch(address::equals)) {
      view.peers().members().assume(ASSUMED_VMS, time.nowMillis());
    }
    view.peers().members().set(FeedAddress.number(address), List.of(), time.nowMillis());
  }

  /** Starts listening and broadcasting. */
  public void start(EventLoop loop, Class<? extends DatagramChannel> type) {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(type)
            .handler(
                new SimpleChannelInboundHandler<DatagramPacket>() {
                  @Override
                  protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                    receive(ByteBufUtil.getBytes(packet.content()), packet.sender());
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    EventLog.log(LogEvent.PEER_FRAME_REFUSED, "unknown", cause.toString());
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
    streams.start(this::sendOnce, peers::keySet);
    coldStarts.start(this::sendOnce);
    brittle.start(this::sendOnce);
    pauses.start(this::sendOnce);
    time.every(PERIOD_MILLIS, this::broadcast);
  }

  /** Sends a datagram that is no statement, whose bytes the next broadcast saves. */
  private void sendOnce(byte[] message, InetSocketAddress to) {
    bytesSinceBroadcast += message.length;
    send(message, to);
  }

  private void receive(byte[] bytes, InetSocketAddress sender) {
    bytesReceived.inc(bytes.length);
    Optional<StreamMessage> message = StreamMessage.decode(bytes);
    if (message.isPresent()) {
      streams.receive(message.get(), sender);
      return;
    }
    Optional<HandoverMessage> handover = HandoverMessage.decode(bytes);
    if (handover.isPresent()) {
      streams.receive(handover.get(), sender);
      return;
    }
    Optional<PermitMessage> permit = PermitMessage.decode(bytes);
    if (permit.isPresent()) {
      coldStarts.receive(permit.get(), sender);
      return;
    }
    Optional<BrittleMessage> request = BrittleMessage.decode(bytes);
    if (request.isPresent()) {
      brittle.receive(request.get(), sender);
      return;
    }
    Optional<PauseMessage> pause = PauseMessage.decode(bytes);
    if (pause.isPresent()) {
      receive(pause.get(), sender);
      return;
    }
    PeerStatement.decode(bytes)
        .ifPresentOrElse(
            statement -> receive(statement, sender),
            () -> EventLog.log(LogEvent.PEER_FRAME_REFUSED, sender, "not a statement"));
  }

  private void receive(PauseMessage pause, InetSocketAddress sender) {
    if (peers.containsKey(FeedAddress.number(sender))) {
      pauses.receive(pause);
    } else {
      EventLog.log(LogEvent.PEER_FRAME_REFUSED, sender, "pause from a VM that is not known");
    }
  }

  private void receive(PeerStatement statement, InetSocketAddress sender) {
    if (statement.vm().equals(vm)) {
      return;
    }
    long now = time.nowMillis();
    FeedMember member = new FeedMember(FeedAddress.number(sender), statement.zoneKey());
    if (isNews(member, now)) {
      EventLog.log(LogEvent.PEER_HEARD, statement.vm(), sender);
    }
    feed.recordPeerPosition(statement.position());
    tunnelPeers.recordStatement(
        member.address(), statement.zoneKey(), statement.unreachableZones(), now);
    view.peers()
        .recordStatement(
            statement.vm(),
            statement.incarnation(),
            statement.sequence(),
            statement.inFlight(),
            now);
    statement.holdings().forEach(holding -> view.prompts().recordPeerHolding(holding, now));
    statement.limits().forEach(limit -> view.recordPeerLimit(limit.moveTime(now), now));
    statement.tolerances().forEach(it -> view.brittle().recordPeerTolerance(it.moveTime(now), now));
    statement.leaving().forEach(upstream -> view.recordPeerLeaving(upstream, now));
    if (statement.zoneKey() == FeedMember.zoneKey(zone.value())) {
      statement.unreachableZones().forEach(zones::recordPeerVerdict);
      traffic.recordStatement(statement.vm(), statement.losses(), now);
    }
    statement.reports().forEach(report -> view.recordPeerReport(report.moveTime(now)));
    view.recordPeerSuspicions(statement.vm(), statement.suspicions().moveTimes(now), now);
    long ownNumber = FeedAddress.number(address);
    for (PeerStatement.KnownVm known : statement.known()) {
      long heardAtMillis = now - known.silentSeconds() * MILLIS_PER_SECOND;
      if (known.member().address() != ownNumber && now - heardAtMillis < PEER_TIMEOUT_MILLIS) {
        isNews(known.member(), heardAtMillis);
      }
    }
  }

  /** Records when a VM was last heard of; returns whether the VM was not known. */
  private boolean isNews(FeedMember member, long heardAtMillis) {
    KnownPeer known = peers.get(member.address());
    if (known == null) {
      peers.put(
          member.address(),
          new KnownPeer(member, FeedAddress.address(member.address()), heardAtMillis));
      discoveredAtMillis = time.nowMillis();
      membersChanged = true;
      return true;
    }
    if (known.heardAtMillis() < heardAtMillis) {
      peers.put(member.address(), known.heardAt(heardAtMillis));
    }
    return false;
  }

  private void broadcast() {
    long now = time.nowMillis();
    view.peers().expire(now);
    tunnelPeers.expire(now);
    peers
        .entrySet()
        .removeIf(
            entry -> {
              long silentMillis = now - entry.getValue().heardAtMillis();
              boolean expired = silentMillis > PEER_TIMEOUT_MILLIS;
              if (expired) {
                EventLog.log(LogEvent.PEER_LOST, entry.getValue().address(), silentMillis);
                membersChanged = true;
              }
              return expired;
            });
    view.peers().setKnownPeers(peers.size());
    if (membersChanged) {
      membersChanged = false;
      feed.setMembers(peers.values().stream().map(KnownPeer::member).toList());
      view.peers().members().set(FeedAddress.number(address), peers.keySet(), now);
    }
    brittle.tellOwners();
    byte[] statement = nextStatement().encode();
    long budgetBytes = BYTES_PER_SECOND * PERIOD_MILLIS / MILLIS_PER_SECOND - bytesSinceBroadcast;
    bytesSinceBroadcast = 0;
    int maxRecipients = (int) (budgetBytes / statement.length);
    boolean isDiscovering = now - discoveredAtMillis < DISCOVERY_MILLIS;
    if (peers.size() > SMALL_FLEET_VMS && !isDiscovering) {
      maxRecipients = Math.min(maxRecipients, MAX_SAMPLED_PEERS);
    }
    List<KnownPeer> recipients = sample(Math.max(1, maxRecipients));
    recipients.forEach(peer -> send(statement, peer.address()));
    if (isDiscoveryPeriod()) {
      seeds.stream()
          .filter(seed -> !seed.equals(address) && !peers.containsKey(FeedAddress.number(seed)))
          .forEach(seed -> send(statement, seed));
    }
  }

  private void send(byte[] statement, InetSocketAddress to) {
    bytesSent.inc(statement.length);
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(statement), to));
  }

  private PeerStatement nextStatement() {
    Map<Integer, Integer> inFlight = new HashMap<>();
    view.upstreams()
        .forEach(
            it -> {
              if (it.load().inFlight() > 0) {
                inFlight.put(it.load().key(), it.load().inFlight());
              }
            });
    sequence++;
    long now = time.nowMillis();
    boolean discovers = isDiscoveryPeriod() || now - discoveredAtMillis < DISCOVERY_MILLIS;
    return new PeerStatement(
        vm,
        incarnation,
        sequence,
        FeedMember.zoneKey(zone.value()),
        feed.position(),
        discovers ? sampleKnownPeers() : List.of(),
        inFlight,
        holdings.next(view.prompts().drainNewHoldings()),
        view.crashes().nextStatement(now).moveTimes(-now),
        limits.next(view.requestLimits(now)).stream().map(it -> it.moveTime(-now)).toList(),
        leaving.next(newLeaving()),
        loadReports(now),
        zones.unreachableKeys(),
        traffic.nextStatement(now),
        view.brittle().news(now).stream().map(it -> it.moveTime(-now)).toList());
  }

  /**
   * Returns reports of upstreams to pass on. In a small fleet, where each VM receives the current
   * statements of all others, there is no need.
   */
  private List<LoadReport> loadReports(long nowMillis) {
    return peers.size() <= SMALL_FLEET_VMS
        ? List.of()
        : reports.next(view.loadReports(), nowMillis).stream()
            .map(it -> it.moveTime(-nowMillis))
            .toList();
  }

  /** Returns the upstreams that are leaving and that no statement has included yet. */
  private List<Integer> newLeaving() {
    Set<Integer> all = view.leavingIncarnations();
    statedLeaving.retainAll(all);
    return all.stream().filter(statedLeaving::add).toList();
  }

  private boolean isDiscoveryPeriod() {
    return sequence % DISCOVERY_PERIODS == 1;
  }

  private List<PeerStatement.KnownVm> sampleKnownPeers() {
    long now = time.nowMillis();
    return sample(MAX_KNOWN_PEERS).stream()
        .map(
            peer ->
                new PeerStatement.KnownVm(
                    peer.member(), (int) ((now - peer.heardAtMillis()) / MILLIS_PER_SECOND)))
        .toList();
  }

  /** Returns random known peers, all of them if there are at most {@code count}. */
  private List<KnownPeer> sample(int count) {
    List<KnownPeer> all = new ArrayList<>(peers.values());
    int sampled = Math.min(count, all.size());
    for (int i = 0; i < sampled && sampled < all.size(); i++) {
      Collections.swap(all, i, i + random.nextInt(all.size() - i));
    }
    return all.subList(0, sampled);
  }
}
