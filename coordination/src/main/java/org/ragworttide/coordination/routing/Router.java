package org.ragworttide.coordination.routing;

import java.util.Optional;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.time.TimerService;

/**
 * Chooses the upstream of each request: the first engine in the chat's order that is in service and
 * within its load bound.
 *
 * <p>Invariants: an upstream that is leaving, in a zone that is out, tried before or held back by
 * the gate is never chosen; with the same facts every daemon chooses the same upstream for a chat
 * that has no requests in flight. Confined to the coordination thread.
 */
public final class Router {
  private final TimerService time;
  private final RouterSettings settings;
  private final UpstreamGate gate;
  private final RoutingState state;

  /**
   * Creates a router without upstreams.
   *
   * @param time the timer service
   * @param settings the settings of the fleet
   * @param gate holds requests back from cold or failing upstreams
   */
  public Router(TimerService time, RouterSettings settings, UpstreamGate gate) {
    this.time = time;
    this.settings = settings;
    this.gate = gate;
    this.state = new RoutingState(settings);
  }

  /** Returns the receiver of input facts. */
  public RoutingFacts facts() {
    return new RoutingFacts(state, settings, time);
  }

  /** Returns a read-only view of the state. */
  public RoutingView view() {
    return new RoutingView(state);
  }

  /**
   * Chooses an upstream and takes a slot there, or returns the reason for which none may receive
   * the request.
   */
  public RouteResult route(RouteRequest request) {
    CandidateSet set = state.candidates(request.model());
    if (set == null) {
      return refused(RefusalReason.NO_UPSTREAM);
    }
    long now = time.nowMillis();
    long key = Rendezvous.hash(request.chat().value());
    set.begin(key, request, state.fleet(), now);
    if (set.eligibleCount() == 0) {
      return refused(set.openCount() == 0 ? RefusalReason.OUT_OF_SERVICE : RefusalReason.ALL_TRIED);
    }
    int skipCount =
        state.chats().skipCount(key, state.fleet(), set.meanLoad(), set.eligibleCount());
    Slot slot = skipCount == 0 ? takeHinted(set, key, now) : null;
    for (int i = 0; i < skipCount; i++) {
      set.next();
    }
    if (slot != null) {
      return new RouteResult.Chosen(slot);
    }
    return takeInOrder(set, key, now).orElseGet(() -> takeLeastLoaded(set, key, request, now));
  }

  private Slot takeHinted(CandidateSet set, long key, long now) {
    long hint = state.hints().find(key);
    if (hint == HintTable.NONE) {
      return null;
    }
    int index = set.hintedIndex(hint);
    if (index < 0 || !set.isBelowSoftBound(index)) {
      return null;
    }
    return set.accepts(index, key, state.fleet()) ? take(set, index, key, now) : null;
  }

  private Optional<RouteResult> takeInOrder(CandidateSet set, long key, long now) {
    for (int step = 0; step < settings.walkLength(); step++) {
      int index = set.next();
      if (index < 0) {
        return Optional.empty();
      }
      if (set.accepts(index, key, state.fleet())) {
        Slot slot = take(set, index, key, now);
        if (slot != null) {
          return Optional.of(new RouteResult.Chosen(slot));
        }
        if (gate.isAwaitingPermit(set.tracker(index).spec().id())) {
          return Optional.of(refused(RefusalReason.AWAITING_PERMIT));
        }
      }
    }
    return Optional.empty();
  }

  private RouteResult takeLeastLoaded(CandidateSet set, long key, RouteRequest request, long now) {
    int[] order = set.byLoad(key, request);
    for (int index : order) {
      if (gate.tryEnterLocally(set.tracker(index).spec().id())) {
        return new RouteResult.Chosen(start(set, index, key, now));
      }
    }
    Slot slot = requestPlaces(set, order, key, now);
    if (slot != null) {
      return new RouteResult.Chosen(slot);
    }
    return refused(order.length == 0 ? RefusalReason.OVERLOADED : RefusalReason.HELD_BACK);
  }

  /**
   * Requests places at a few upstreams that differ by chat, because the least loaded upstreams are
   * the same on every daemon and their owners would receive requests from all daemons at once.
   */
  private Slot requestPlaces(CandidateSet set, int[] order, long key, long now) {
    int count = Math.min(order.length, settings.walkLength());
    int first = (int) Long.remainderUnsigned(key, Math.max(1, order.length));
    Slot slot = null;
    for (int i = 0; i < count && slot == null; i++) {
      slot = take(set, order[(first + i) % order.length], key, now);
    }
    return slot;
  }

  private Slot take(CandidateSet set, int index, long key, long now) {
    boolean entered = gate.tryEnter(set.tracker(index).spec().id());
    return entered ? start(set, index, key, now) : null;
  }

  private Slot start(CandidateSet set, int index, long key, long now) {
    UpstreamTracker tracker = set.tracker(index);
    Slot slot = new Slot(tracker, gate, state.chats(), key, now);
    tracker.add(slot);
    state.chats().recordStart(key);
    return slot;
  }

  private RouteResult refused(RefusalReason reason) {
    return new RouteResult.Refused(reason, settings.retryAfterMillis());
  }
}
