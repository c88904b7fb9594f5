package org.ragworttide.gateway.peer;

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
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.placement.PromptIndex;
import org.ragworttide.coordination.quarantine.CrashSuspicions;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.view.FleetView;

/**
 * Tells other VMs what this one has at each upstream, and takes what they tell.
 *
 * <p>Invariants: a lost, late or doubled datagram does no harm; what is sent a second stays within
 * the budget whatever the size of the fleet. Confined to the event loop.
 */
public final class PeerExchange {
  /** Milliseconds between statements to the VMs of a small fleet. */
  private static final long PERIOD_MILLIS = 150;

  /** Bytes a second that a VM spends on statements: the target for control traffic. */
  private static final int BYTES_PER_SECOND = 4_096;

  /**
   * Milliseconds after which a silent VM counts no more and is told nothing: in a fleet of a
   * hundred a VM hears from each other one about every fifteen seconds.
   */
  private static final long FORGET_MILLIS = 30_000;

  /** Addresses in a statement: enough to find all VMs of a small fleet at once. */
  private static final int MAX_KNOWN = 16;

  /** Periods between statements that name known VMs, and go to seeds not heard of. */
  private static final int INTRODUCTION_PERIODS = 6;

  /** Held prompts in a statement, ten bytes each: half of its bytes in a small fleet. */
  private static final int MAX_HOLDINGS = 32;

  /** Crashes in a statement, fourteen bytes each: what ran on one upstream. */
  private static final int MAX_CRASHES = 8;

  private static final long MILLIS_PER_SECOND = 1_000;

  private final VmId vm;
  private final InetSocketAddress address;
  private final List<InetSocketAddress> seeds;
  private final FleetView view;
  private final TimerService time;
  private final long incarnation = System.currentTimeMillis();
  private final Random random = new Random();
  private final Map<InetSocketAddress, Long> heardAtMillis = new HashMap<>();
  private final RepeatedNews<PromptIndex.Holding> holdings = new RepeatedNews<>(MAX_HOLDINGS);
  private final RepeatedNews<CrashSuspicions.Crash> crashes = new RepeatedNews<>(MAX_CRASHES);
  private Channel channel;
  private long sequence;

  /**
   * Creates an exchange that isn't bound yet.
   *
   * @param vm this VM
   * @param address where it listens
   * @param seeds addresses of some VMs, which may be gone
   * @param view what the VM believes
   * @param time the time
   */
  public PeerExchange(
      VmId vm,
      InetSocketAddress address,
      List<InetSocketAddress> seeds,
      FleetView view,
      TimerService time) {
    this.vm = vm;
    this.address = address;
    this.seeds = List.copyOf(seeds);
    this.view = view;
    this.time = time;
  }

  /** Starts to listen and to tell. */
  public void start(EventLoop loop, Class<? extends DatagramChannel> type) {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(type)
            .handler(
                new SimpleChannelInboundHandler<DatagramPacket>() {
                  @Override
                  protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                    take(ByteBufUtil.getBytes(packet.content()), packet.sender());
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    EventLog.log(LogEvent.PEER_FRAME_REFUSED, "unknown", cause.toString());
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
    time.every(PERIOD_MILLIS, this::tell);
  }

  private void take(byte[] bytes, InetSocketAddress sender) {
    PeerStatement.decode(bytes)
        .ifPresentOrElse(
            statement -> take(statement, sender),
            () -> EventLog.log(LogEvent.PEER_FRAME_REFUSED, sender, "not a statement"));
  }

  private void take(PeerStatement statement, InetSocketAddress sender) {
    if (statement.vm().equals(vm)) {
      return;
    }
    long now = time.nowMillis();
    if (heardAtMillis.put(sender, now) == null) {
      EventLog.log(LogEvent.PEER_HEARD, statement.vm(), sender);
    }
    view.peers()
        .heard(
            statement.vm(),
            statement.incarnation(),
            statement.sequence(),
            statement.inFlight(),
            now);
    statement.holdings().forEach(holding -> view.prompts().heard(holding, now));
    statement.crashes().forEach(crash -> view.crashes().heard(crash, now));
    for (InetSocketAddress known : statement.known()) {
      if (!known.equals(address)) {
        heardAtMillis.putIfAbsent(known, now - FORGET_MILLIS / 2);
      }
    }
  }

  private void tell() {
    long now = time.nowMillis();
    view.peers().expire(now);
    heardAtMillis
        .entrySet()
        .removeIf(
            entry -> {
              boolean silent = now - entry.getValue() > FORGET_MILLIS;
              if (silent) {
                EventLog.log(LogEvent.PEER_LOST, entry.getKey(), now - entry.getValue());
              }
              return silent;
            });
    view.peers().known(heardAtMillis.size());
    byte[] statement = statement().encode();
    int allowed = (int) (BYTES_PER_SECOND * PERIOD_MILLIS / MILLIS_PER_SECOND / statement.length);
    List<InetSocketAddress> to = new ArrayList<>(heardAtMillis.keySet());
    Collections.shuffle(to, random);
    for (InetSocketAddress peer : to.subList(0, Math.min(to.size(), Math.max(1, allowed)))) {
      send(statement, peer);
    }
    if (introduces()) {
      seeds.stream()
          .filter(seed -> !seed.equals(address) && !heardAtMillis.containsKey(seed))
          .forEach(seed -> send(statement, seed));
    }
  }

  private void send(byte[] statement, InetSocketAddress to) {
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(statement), to));
  }

  private PeerStatement statement() {
    Map<Integer, Integer> inFlight = new HashMap<>();
    view.upstreams()
        .forEach(
            it -> {
              if (it.load().inFlight() > 0) {
                inFlight.put(it.load().key(), it.load().inFlight());
              }
            });
    sequence++;
    List<InetSocketAddress> known = introduces() ? someKnown() : List.of();
    return new PeerStatement(
        vm,
        incarnation,
        sequence,
        known,
        inFlight,
        holdings.next(view.prompts().takeNews()),
        crashes.next(view.crashes().takeNews()));
  }

  private boolean introduces() {
    return sequence % INTRODUCTION_PERIODS == 1;
  }

  private List<InetSocketAddress> someKnown() {
    List<InetSocketAddress> known = new ArrayList<>(heardAtMillis.keySet());
    Collections.shuffle(known, random);
    return known.subList(0, Math.min(MAX_KNOWN, known.size()));
  }
}
