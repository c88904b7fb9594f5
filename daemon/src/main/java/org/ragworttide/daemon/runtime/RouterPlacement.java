package org.ragworttide.daemon.runtime;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.queueing.Offer;
import org.ragworttide.coordination.queueing.QueueRefusal;
import org.ragworttide.coordination.routing.RefusalReason;
import org.ragworttide.coordination.routing.RouteRequest;
import org.ragworttide.coordination.routing.RouteResult;
import org.ragworttide.coordination.routing.Slot;
import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.decision.Placement;
import org.ragworttide.daemon.decision.PlacementDecision;
import org.ragworttide.daemon.decision.PlacementRefusal;
import org.ragworttide.daemon.decision.PlacementRequest;
import org.ragworttide.daemon.upstream.UpstreamAddresses;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Organisation;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Places requests with the router of the coordination library; requests that no upstream can accept
 * now wait in a fair queue.
 *
 * <p>Invariant: the router is accessed on the coordination thread only. Safe for use by any thread.
 */
final class RouterPlacement implements Placement {
  private static final OrganisationId OPEN_ROUTE_ORGANISATION = new OrganisationId("open");
  private static final long DISPATCH_PERIOD_MILLIS = 10;
  private static final long PERMIT_POLL_MILLIS = 5;
  private static final long MAX_PERMIT_WAIT_MILLIS = 500;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final CoordinationLoop loop;
  private final Coordinator coordinator;
  private final Supplier<ConfigurationDocument> configuration;
  private final PlacementQueue<Waiting> waitingRequests;
  private Map<UpstreamId, InetSocketAddress> addresses = Map.of();
  private Map<OrganisationId, Double> weights = Map.of();

  RouterPlacement(
      CoordinationLoop loop,
      Coordinator coordinator,
      Supplier<ConfigurationDocument> configuration) {
    this.loop = loop;
    this.coordinator = coordinator;
    this.configuration = configuration;
    this.waitingRequests = new PlacementQueue<>(loop, RouterPlacement::refuseWaiting);
    loop.every(DISPATCH_PERIOD_MILLIS, this::dispatch);
  }

  void apply(ConfigurationDocument document) {
    addresses = UpstreamAddresses.of(document);
    Map<OrganisationId, Double> rates = new HashMap<>();
    for (Organisation organisation : document.organisations()) {
      rates.put(new OrganisationId(organisation.id()), organisation.ratePerSecond());
    }
    weights = rates;
  }

  @Override
  public Mono<PlacementDecision> place(PlacementRequest request) {
    return Mono.create(sink -> loop.execute(() -> begin(request, sink)));
  }

  private void begin(PlacementRequest request, MonoSink<PlacementDecision> sink) {
    ModelId model = UpstreamSpecs.model(configuration.get(), request.target());
    // A request outside any chat is routed by its content, so that a retry is routed alike.
    ChatId chat = request.chat().orElseGet(() -> new ChatId(request.fingerprint()));
    OrganisationId organisation = request.organisation().orElse(OPEN_ROUTE_ORGANISATION);
    RouteRequest route = new RouteRequest(chat, model, organisation, request.tried());
    Waiting waiting = new Waiting(request, route, sink, loop.nowMillis());
    if (waitingRequests.isEmpty(model)) {
      routeNow(waiting);
    } else {
      enqueue(waiting);
    }
  }

  private void routeNow(Waiting waiting) {
    switch (coordinator.router().route(waiting.route)) {
      case RouteResult.Chosen chosen -> waiting.sink.success(placed(waiting, chosen.slot()));
      case RouteResult.Refused refused -> {
        switch (refused.reason()) {
          case AWAITING_PERMIT -> pollPermit(waiting);
          case HELD_BACK, OVERLOADED -> enqueue(waiting);
          default -> waiting.sink.success(refusal(refused));
        }
      }
    }
  }

  private void pollPermit(Waiting waiting) {
    if (loop.nowMillis() - waiting.sinceMillis < MAX_PERMIT_WAIT_MILLIS) {
      loop.after(PERMIT_POLL_MILLIS, () -> routeNow(waiting));
    } else {
      enqueue(waiting);
    }
  }

  private void enqueue(Waiting waiting) {
    ModelId model = waiting.route.model();
    OrganisationId organisation = waiting.route.organisation();
    Offer<Waiting> offer =
        waitingRequests.offer(
            model,
            organisation,
            Math.max(1, weights.getOrDefault(organisation, 1.0)),
            waiting.request.deadline().remainingMillis(),
            waiting);
    switch (offer) {
      case Offer.Queued<Waiting> queued ->
          waiting.sink.onCancel(
              () -> loop.execute(() -> waitingRequests.cancel(model, queued.entry())));
      case Offer.Refused<Waiting> refused -> refuseWaiting(waiting, refused.reason());
    }
  }

  private void dispatch() {
    waitingRequests.dispatch(this::tryQueued);
  }

  private boolean tryQueued(Waiting waiting) {
    return switch (coordinator.router().route(waiting.route)) {
      case RouteResult.Chosen chosen -> {
        waiting.sink.success(placed(waiting, chosen.slot()));
        yield true;
      }
      case RouteResult.Refused refused -> {
        boolean temporary =
            switch (refused.reason()) {
              case AWAITING_PERMIT, HELD_BACK, OVERLOADED -> true;
              case NO_UPSTREAM, OUT_OF_SERVICE, ALL_TRIED -> false;
            };
        if (!temporary) {
          waiting.sink.success(refusal(refused));
        }
        yield !temporary;
      }
    };
  }

  private PlacementDecision placed(Waiting waiting, Slot slot) {
    return new PlacementDecision.Placed(
        slot.upstream(),
        addresses.get(slot.upstream()),
        outcome -> loop.execute(() -> release(waiting.route.model(), slot, outcome)));
  }

  private void release(ModelId model, Slot slot, AttemptOutcome outcome) {
    switch (outcome) {
      case AttemptOutcome.Answered answered -> {
        coordinator.recordAnswer(slot.upstream(), answered.firstByteMillis());
        waitingRequests.recordAnswer(model, loop.nowMillis() - slot.startedAtMillis());
      }
      case AttemptOutcome.Unreachable unreachable -> coordinator.recordFailure(slot.upstream());
      case AttemptOutcome.Lost lost -> coordinator.recordFailure(slot.upstream());
      case AttemptOutcome.Stalled stalled -> coordinator.recordFailure(slot.upstream());
      case AttemptOutcome.Cancelled cancelled -> {}
    }
    slot.release();
  }

  private static void refuseWaiting(Waiting waiting, QueueRefusal reason) {
    PlacementRefusal refusal =
        switch (reason) {
          case FULL -> PlacementRefusal.OVERLOADED;
          case TOO_LATE -> PlacementRefusal.DEADLINE_TOO_SHORT;
        };
    waiting.sink.success(new PlacementDecision.Refused(refusal, RETRY_AFTER_MILLIS));
  }

  private static PlacementDecision refusal(RouteResult.Refused refused) {
    return new PlacementDecision.Refused(reason(refused.reason()), refused.retryAfterMillis());
  }

  private static PlacementRefusal reason(RefusalReason reason) {
    return switch (reason) {
      case NO_UPSTREAM -> PlacementRefusal.UNKNOWN_MODEL;
      case OUT_OF_SERVICE, ALL_TRIED -> PlacementRefusal.NO_UPSTREAM;
      case OVERLOADED -> PlacementRefusal.OVERLOADED;
      case HELD_BACK, AWAITING_PERMIT -> PlacementRefusal.COLD;
    };
  }

  /** A request that has not been placed yet. */
  private record Waiting(
      PlacementRequest request,
      RouteRequest route,
      MonoSink<PlacementDecision> sink,
      long sinceMillis) {}
}
