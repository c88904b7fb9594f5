package org.ragworttide.gateway.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ragworttide.coordination.streams.HandoverRequests;
import org.ragworttide.coordination.streams.RememberedStream;
import org.ragworttide.coordination.streams.SoftwareVersion;
import org.ragworttide.coordination.streams.StreamId;
import org.ragworttide.coordination.streams.StreamInquiry;
import org.ragworttide.coordination.streams.StreamKeepers;
import org.ragworttide.coordination.streams.StreamVersions;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.feed.FeedAddress;

/**
 * The software versions that began streams on any VM: remembers those of this VM and those that it
 * keeps for others, and asks other VMs for the rest. A VM that starts, or learns of another one,
 * receives the streams that it is to keep from those that remember them.
 *
 * <p>Invariants: each lookup ends once, within {@link #LOOKUP_MILLIS}; lost datagrams delay or fail
 * lookups but never give a wrong version. Confined to the event loop.
 */
public final class StreamDirectory {
  /** Milliseconds after which a lookup fails: several round trips between zones. */
  private static final long LOOKUP_MILLIS = 250;

  /** Milliseconds after which VMs that have not answered are asked again. */
  private static final long REPEAT_MILLIS = 60;

  /**
   * Milliseconds after a start in which the VM may not know all members: it then also asks VMs that
   * do, which forward its question.
   */
  private static final long DISCOVERY_MILLIS = 5_000;

  /** VMs that forward a question at most, so that a few that are gone do no harm. */
  private static final int MAX_FORWARDING_VMS = 8;

  /** Milliseconds between datagrams of a handover, so that the receiver's buffer holds them. */
  private static final long HANDOVER_PACE_MILLIS = 10;

  /**
   * Size of a fleet up to which all VMs are asked for a stream: the one that began it may be the
   * only one that remembers it, if it was cut off from the keepers then.
   */
  private static final int MAX_ASKED_VMS = 16;

  private final StreamVersions versions = new StreamVersions();
  private final HandoverRequests handovers = new HandoverRequests();
  private final Map<StreamId, Lookup> lookups = new HashMap<>();
  private final TimerService time;
  private final InetSocketAddress self;
  private final List<InetSocketAddress> seeds;
  private final long startedAtMillis;
  private BiConsumer<byte[], InetSocketAddress> sender = (bytes, to) -> {};
  private Supplier<Collection<Long>> peers = List::of;

  private final class Lookup {
    private final StreamId stream;
    private final List<Consumer<Optional<SoftwareVersion>>> callbacks = new ArrayList<>();
    private final StreamInquiry inquiry;
    private final List<TimerService.Subscription> timers = new ArrayList<>();

    private Lookup(StreamId stream) {
      this.stream = stream;
      this.inquiry = new StreamInquiry(asked(stream), isDiscovering() && !others().isEmpty());
    }

    private void start() {
      ask();
      for (long millis = REPEAT_MILLIS; millis < LOOKUP_MILLIS; millis += REPEAT_MILLIS) {
        timers.add(time.after(millis, this::ask));
      }
      timers.add(time.after(LOOKUP_MILLIS, this::end));
    }

    private void ask() {
      long asker = FeedAddress.number(self);
      Set<Long> asked = new HashSet<>(asked(stream));
      asked.forEach(vm -> send(new StreamMessage.Question(stream, asker, true), vm));
      if (isDiscovering()) {
        others().stream()
            .filter(vm -> !asked.contains(vm))
            .limit(MAX_FORWARDING_VMS)
            .forEach(vm -> send(new StreamMessage.Question(stream, asker, false), vm));
      }
    }

    private void end() {
      if (lookups.remove(stream, this)) {
        timers.forEach(TimerService.Subscription::cancel);
        callbacks.forEach(callback -> callback.accept(inquiry.version()));
      }
    }

    private void endIfAnswered() {
      if (inquiry.isEnded()) {
        end();
      }
    }
  }

  /**
   * Creates a directory that knows no other VM yet.
   *
   * @param self the address on which this VM receives datagrams of others
   * @param seeds addresses of some VMs
   * @param time the clock and timers of the event loop
   */
  public StreamDirectory(InetSocketAddress self, List<InetSocketAddress> seeds, TimerService time) {
    this.self = self;
    this.seeds = seeds;
    this.time = time;
    this.startedAtMillis = time.nowMillis();
  }

  /**
   * Starts the exchange with other VMs.
   *
   * @param datagrams sends a datagram to an address
   * @param knownPeers returns the numbers of the addresses of the other VMs that are known
   */
  void start(
      BiConsumer<byte[], InetSocketAddress> datagrams, Supplier<Collection<Long>> knownPeers) {
    sender = datagrams;
    peers = knownPeers;
    time.every(HandoverRequests.PERIOD_MILLIS, this::requestHandovers);
  }

  private void requestHandovers() {
    byte[] request = new HandoverMessage.Request(FeedAddress.number(self)).encode();
    handovers
        .next(others(), time.nowMillis())
        .forEach(vm -> sender.accept(request, FeedAddress.address(vm)));
  }

  private void handOver(long asker, long nowMillis) {
    Set<Long> members = new HashSet<>(peers.get());
    members.add(FeedAddress.number(self));
    List<RememberedStream> kept =
        versions.all(nowMillis).stream()
            .filter(it -> StreamKeepers.isKeeper(it.stream(), asker, members))
            .toList();
    int datagrams = Math.max(1, Math.ceilDiv(kept.size(), HandoverMessage.MAX_STREAMS));
    for (int i = 0; i < datagrams; i++) {
      int from = i * HandoverMessage.MAX_STREAMS;
      int to = Math.min(kept.size(), from + HandoverMessage.MAX_STREAMS);
      byte[] part =
          new HandoverMessage.Streams(kept.subList(from, to), i == datagrams - 1).encode();
      time.after(i * HANDOVER_PACE_MILLIS, () -> sender.accept(part, FeedAddress.address(asker)));
    }
  }

  /** Records that the version has begun the stream, here and at its keepers. */
  public void record(StreamId stream, SoftwareVersion version) {
    versions.record(stream, version, time.nowMillis());
    keepers(stream).forEach(keeper -> send(new StreamMessage.Begun(stream, version), keeper));
  }

  /**
   * Looks up the version that began a stream, here or at other VMs.
   *
   * @param callback receives the version, or empty if no VM that was reached remembers the stream
   */
  public void find(StreamId stream, Consumer<Optional<SoftwareVersion>> callback) {
    Optional<SoftwareVersion> known = versions.find(stream, time.nowMillis());
    if (known.isPresent()) {
      callback.accept(known);
      return;
    }
    Lookup running = lookups.get(stream);
    if (running != null) {
      running.callbacks.add(callback);
      return;
    }
    Lookup lookup = new Lookup(stream);
    lookup.callbacks.add(callback);
    lookups.put(stream, lookup);
    lookup.start();
    lookup.endIfAnswered();
  }

  /** Handles a message of another VM. */
  void receive(StreamMessage message, InetSocketAddress from) {
    long now = time.nowMillis();
    switch (message) {
      case StreamMessage.Begun begun -> versions.record(begun.stream(), begun.version(), now);
      case StreamMessage.Question question -> answer(question, now);
      case StreamMessage.Known known ->
          lookup(known.stream())
              .ifPresent(
                  it -> {
                    versions.record(known.stream(), known.version(), now);
                    it.inquiry.recordKnown(known.version());
                    it.endIfAnswered();
                  });
      case StreamMessage.NotKnown notKnown ->
          lookup(notKnown.stream())
              .ifPresent(
                  it -> {
                    it.inquiry.recordNotKnown(FeedAddress.number(from));
                    it.endIfAnswered();
                  });
    }
  }

  /** Handles a message of another VM about streams that one of them is to keep. */
  void receive(HandoverMessage message, InetSocketAddress from) {
    long now = time.nowMillis();
    switch (message) {
      case HandoverMessage.Request request -> handOver(request.asker(), now);
      case HandoverMessage.Streams received -> {
        received.streams().forEach(stream -> versions.recordRemembered(stream, now));
        if (received.last()) {
          handovers.recordAnswered(FeedAddress.number(from));
        }
      }
    }
  }

  private void answer(StreamMessage.Question question, long nowMillis) {
    StreamId stream = question.stream();
    Optional<SoftwareVersion> known = versions.find(stream, nowMillis);
    if (known.isPresent()) {
      send(new StreamMessage.Known(stream, known.get()), question.asker());
    } else if (question.forwarded()) {
      send(new StreamMessage.NotKnown(stream), question.asker());
    } else {
      keepers(stream).stream()
          .filter(keeper -> keeper != question.asker())
          .forEach(
              keeper -> send(new StreamMessage.Question(stream, question.asker(), true), keeper));
    }
  }

  private Optional<Lookup> lookup(StreamId stream) {
    return Optional.ofNullable(lookups.get(stream));
  }

  private boolean isDiscovering() {
    return time.nowMillis() - startedAtMillis < DISCOVERY_MILLIS;
  }

  /** Returns the other VMs that are known: members and seeds. */
  private Set<Long> others() {
    Set<Long> others = new HashSet<>(peers.get());
    seeds.forEach(seed -> others.add(FeedAddress.number(seed)));
    others.remove(FeedAddress.number(self));
    return others;
  }

  /** Returns the VMs that may remember the stream. */
  private Collection<Long> asked(StreamId stream) {
    return peers.get().size() < MAX_ASKED_VMS ? List.copyOf(peers.get()) : keepers(stream);
  }

  /** Returns the other VMs among the stream's keepers. */
  private List<Long> keepers(StreamId stream) {
    long own = FeedAddress.number(self);
    Set<Long> members = new HashSet<>(peers.get());
    members.add(own);
    return StreamKeepers.choose(stream, members).stream().filter(vm -> vm != own).toList();
  }

  private void send(StreamMessage message, long to) {
    sender.accept(message.encode(), FeedAddress.address(to));
  }
}
