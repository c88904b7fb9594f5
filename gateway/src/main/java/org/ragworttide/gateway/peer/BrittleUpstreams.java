package org.ragworttide.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ragworttide.coordination.placement.BrittlePermits;
import org.ragworttide.coordination.placement.BrittlePermits.PermitId;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.feed.FeedAddress;
import org.ragworttide.gateway.upstream.Upstream;
import org.ragworttide.gateway.view.FleetView;

/**
 * Asks for permits to send requests to brittle upstreams, tells the VMs that give them out which
 * requests are in flight, and gives them out for the upstreams that this VM owns.
 *
 * <p>Invariants: each question ends once, within {@link #ANSWER_MILLIS}; a permit that arrives
 * later is not used; a lost datagram refuses. The owner hears of the end of each request that it
 * counts, or forgets it in time. Confined to the event loop.
 */
public final class BrittleUpstreams {
  /** Milliseconds after which a question is refused: several round trips between zones. */
  private static final long ANSWER_MILLIS = 60;

  /** Milliseconds after which an end is reported once more, in case its datagram was lost. */
  private static final long REPEAT_MILLIS = 100;

  /** Milliseconds after a refusal in which an upstream is not asked about. */
  private static final long REFUSAL_MILLIS = 20;

  private final long self;
  private final FleetView view;
  private final TimerService time;
  private final BrittlePermits permits;
  private final Map<Long, InFlight> inFlight = new HashMap<>();
  private final Map<Long, Consumer<Boolean>> questions = new HashMap<>();
  private final Map<Integer, Long> refusedUntilMillis = new HashMap<>();
  private BiConsumer<byte[], InetSocketAddress> sender = (bytes, to) -> {};
  private long number;

  /**
   * A request that is or may be in flight at an upstream.
   *
   * <p>Invariant: its end is reported once. Confined to the event loop.
   */
  public final class InFlight {
    private final long number;
    private final Upstream upstream;
    private OptionalLong owner;

    private InFlight(Upstream upstream, OptionalLong owner) {
      BrittleUpstreams.this.number++;
      this.number = BrittleUpstreams.this.number;
      this.upstream = upstream;
      this.owner = owner;
      inFlight.put(number, this);
    }

    /** Tells the former owner to count the request no more, should it be the owner again. */
    private void leaveOwner() {
      owner.ifPresent(
          it -> tell(it, new BrittleMessage.Ended(number, upstream.incarnationKey(), false)));
    }

    /**
     * Records that the request has ended or is not sent.
     *
     * @param isRejected whether the upstream had no room for it
     */
    public void end(boolean isRejected) {
      if (inFlight.remove(number) != null && owner.isPresent()) {
        BrittleMessage ended =
            new BrittleMessage.Ended(number, upstream.incarnationKey(), isRejected);
        tell(owner.getAsLong(), ended);
        if (owner.getAsLong() != self) {
          time.after(REPEAT_MILLIS, () -> tell(owner.getAsLong(), ended));
        }
      }
    }
  }

  /**
   * Creates an exchange that reaches no other VM yet.
   *
   * @param self the address on which this VM receives datagrams of others
   * @param view the VM's view of the fleet
   * @param time the clock and timers of the event loop
   */
  public BrittleUpstreams(InetSocketAddress self, FleetView view, TimerService time) {
    this.self = FeedAddress.number(self);
    this.view = view;
    this.time = time;
    this.permits = new BrittlePermits(view.peers().members(), time.nowMillis());
  }

  /** Starts the exchange with other VMs, to which the function sends datagrams. */
  void start(BiConsumer<byte[], InetSocketAddress> datagrams) {
    sender = datagrams;
  }

  /** Returns whether each request to the upstream needs a permit. */
  public boolean isBrittle(Upstream upstream) {
    return tolerated(upstream).isPresent();
  }

  /** Records a request to an upstream that is not known to be brittle. */
  public InFlight begin(Upstream upstream) {
    return new InFlight(upstream, OptionalLong.empty());
  }

  /**
   * Asks whether a request may be sent to a brittle upstream now.
   *
   * @param answer receives the permitted request, or empty, at once or within {@link
   *     #ANSWER_MILLIS}
   */
  public void ask(Upstream upstream, Consumer<Optional<InFlight>> answer) {
    int key = upstream.incarnationKey();
    long now = time.nowMillis();
    refusedUntilMillis.values().removeIf(until -> until <= now);
    OptionalLong owner = view.peers().members().owner(key, now);
    if (owner.isEmpty() || refusedUntilMillis.containsKey(key)) {
      answer.accept(Optional.empty());
      return;
    }
    InFlight asked = new InFlight(upstream, owner);
    int tolerated = tolerated(upstream).orElse(0);
    if (owner.getAsLong() == self) {
      answer(asked, tryGrant(self, asked.number, key, tolerated), answer);
      return;
    }
    questions.put(asked.number, granted -> answer(asked, granted, answer));
    time.after(ANSWER_MILLIS, () -> endQuestion(asked.number, false));
    tell(owner.getAsLong(), new BrittleMessage.Question(asked.number, key, tolerated));
  }

  private void answer(InFlight asked, boolean granted, Consumer<Optional<InFlight>> answer) {
    if (!granted) {
      refusedUntilMillis.put(asked.upstream.incarnationKey(), time.nowMillis() + REFUSAL_MILLIS);
      asked.end(false);
    }
    answer.accept(granted ? Optional.of(asked) : Optional.empty());
  }

  /** Tells the owners of upstreams of requests in flight there that they do not count yet. */
  void tellOwners() {
    long now = time.nowMillis();
    Map<Integer, OptionalLong> owners = new HashMap<>();
    for (InFlight request : inFlight.values()) {
      int key = request.upstream.incarnationKey();
      OptionalInt tolerated = tolerated(request.upstream);
      if (tolerated.isPresent() && !questions.containsKey(request.number)) {
        OptionalLong owner =
            owners.computeIfAbsent(key, it -> view.peers().members().owner(it, now));
        if (owner.isPresent() && !owner.equals(request.owner)) {
          request.leaveOwner();
          request.owner = owner;
          tell(
              owner.getAsLong(),
              new BrittleMessage.Running(request.number, key, tolerated.getAsInt()));
        }
      }
    }
  }

  private void tell(long vm, BrittleMessage message) {
    if (vm == self) {
      receive(message, self);
    } else {
      sender.accept(message.encode(), FeedAddress.address(vm));
    }
  }

  /** Handles a message of another VM. */
  void receive(BrittleMessage message, InetSocketAddress from) {
    receive(message, FeedAddress.number(from));
  }

  private void receive(BrittleMessage message, long vm) {
    int key = message.upstream();
    long number = message.number();
    switch (message) {
      case BrittleMessage.Question it ->
          tell(
              vm,
              tryGrant(vm, number, key, it.tolerated())
                  ? new BrittleMessage.Granted(number, key)
                  : new BrittleMessage.Refused(number, key));
      case BrittleMessage.Granted it -> endQuestion(number, true);
      case BrittleMessage.Refused it -> {
        if (questions.containsKey(number)) {
          inFlight.get(number).owner = OptionalLong.empty();
          endQuestion(number, false);
        }
      }
      case BrittleMessage.Running it ->
          terms(key, it.tolerated())
              .ifPresent(
                  terms ->
                      permits.recordRunning(
                          key, new PermitId(vm, number), terms, time.nowMillis()));
      case BrittleMessage.Ended it ->
          permits.recordEnd(key, new PermitId(vm, number), it.isRejected(), time.nowMillis());
    }
  }

  private void endQuestion(long number, boolean granted) {
    Consumer<Boolean> answer = questions.remove(number);
    if (answer != null) {
      answer.accept(granted);
    }
  }

  private boolean tryGrant(long vm, long number, int key, int tolerated) {
    return terms(key, tolerated)
        .filter(it -> permits.tryGrant(key, new PermitId(vm, number), it, time.nowMillis()))
        .isPresent();
  }

  private Optional<BrittlePermits.Terms> terms(int key, int asked) {
    return view.upstream(key)
        .map(
            upstream -> {
              OptionalInt known = tolerated(upstream);
              return new BrittlePermits.Terms(
                  upstream.load().slots(),
                  Math.min(asked, known.orElse(asked)),
                  known.isPresent()
                      ? view.brittle().sinceMillis(upstream.entry().service())
                      : time.nowMillis());
            });
  }

  private OptionalInt tolerated(Upstream upstream) {
    return view.brittle().perSecond(upstream.entry().service(), time.nowMillis());
  }
}
