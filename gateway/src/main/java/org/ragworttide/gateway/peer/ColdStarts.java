package org.ragworttide.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ragworttide.coordination.placement.ColdPermits;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.feed.FeedAddress;
import org.ragworttide.gateway.view.FleetView;

/**
 * Asks for permits to send requests to cold upstreams, and gives them out for the upstreams that
 * this VM owns.
 *
 * <p>Invariants: each question ends once, within {@link #ANSWER_MILLIS}; a permit that arrives
 * later is not used; a lost datagram refuses. Confined to the event loop.
 */
public final class ColdStarts {
  /** Milliseconds after which a question is refused: several round trips between zones. */
  private static final long ANSWER_MILLIS = 60;

  private final long self;
  private final FleetView view;
  private final TimerService time;
  private final ColdPermits permits;
  private final Map<Long, Consumer<Boolean>> questions = new HashMap<>();
  private BiConsumer<byte[], InetSocketAddress> sender = (bytes, to) -> {};
  private long questionNumber;

  /**
   * Creates an exchange that reaches no other VM yet.
   *
   * @param self the address on which this VM receives datagrams of others
   * @param view the VM's view of the fleet
   * @param time the clock and timers of the event loop
   */
  public ColdStarts(InetSocketAddress self, FleetView view, TimerService time) {
    this.self = FeedAddress.number(self);
    this.view = view;
    this.time = time;
    this.permits = new ColdPermits(view.peers().members());
  }

  /** Starts the exchange with other VMs, to which the function sends datagrams. */
  void start(BiConsumer<byte[], InetSocketAddress> datagrams) {
    sender = datagrams;
  }

  /**
   * Asks whether a request may be sent to a cold upstream now.
   *
   * @param upstream the key of the upstream's incarnation
   * @param answer receives the answer, at once or within {@link #ANSWER_MILLIS}
   */
  public void ask(int upstream, Consumer<Boolean> answer) {
    long now = time.nowMillis();
    OptionalLong owner = view.peers().members().owner(upstream, now);
    if (owner.isEmpty()) {
      answer.accept(false);
    } else if (owner.getAsLong() == self) {
      answer.accept(permits.tryGrant(upstream, view.coldPerSecond(upstream), now));
    } else {
      questionNumber++;
      long number = questionNumber;
      questions.put(number, answer);
      time.after(ANSWER_MILLIS, () -> end(number, false));
      sender.accept(
          new PermitMessage.Question(number, upstream).encode(),
          FeedAddress.address(owner.getAsLong()));
    }
  }

  /** Handles a message of another VM. */
  void receive(PermitMessage message, InetSocketAddress from) {
    switch (message) {
      case PermitMessage.Question it -> sender.accept(answer(it).encode(), from);
      case PermitMessage.Granted it -> end(it.number(), true);
      case PermitMessage.Refused it -> end(it.number(), false);
    }
  }

  private PermitMessage answer(PermitMessage.Question question) {
    int upstream = question.upstream();
    return permits.tryGrant(upstream, view.coldPerSecond(upstream), time.nowMillis())
        ? new PermitMessage.Granted(question.number(), upstream)
        : new PermitMessage.Refused(question.number(), upstream);
  }

  private void end(long number, boolean isPermitted) {
    Consumer<Boolean> answer = questions.remove(number);
    if (answer != null) {
      answer.accept(isPermitted);
    }
  }
}
