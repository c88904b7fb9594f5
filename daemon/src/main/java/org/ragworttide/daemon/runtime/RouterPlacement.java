package org.ragworttide.daemon.runtime;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.routing.RefusalReason;
import org.ragworttide.coordination.routing.RouteRequest;
import org.ragworttide.coordination.routing.RouteResult;
import org.ragworttide.coordination.routing.Router;
import org.ragworttide.coordination.routing.Slot;
import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.decision.Placement;
import org.ragworttide.daemon.decision.PlacementDecision;
import org.ragworttide.daemon.decision.PlacementRefusal;
import org.ragworttide.daemon.decision.PlacementRequest;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Upstream;
import reactor.core.publisher.Mono;

/**
 * Places requests by the router of the coordination library.
 *
 * <p>Invariant: the router is touched on the coordination thread only. Safe for use by any thread.
 */
final class RouterPlacement implements Placement {
  private static final OrganisationId OPEN = new OrganisationId("open");

  private static final long WAIT_STEP_MILLIS = 20;
  private static final long MAX_WAIT_MILLIS = 2_000;

  private final CoordinationLoop loop;
  private final Router router;
  private final Coordinator coordinator;
  private final Supplier<ConfigurationDocument> configuration;
  private Map<UpstreamId, InetSocketAddress> addresses = Map.of();

  RouterPlacement(
      CoordinationLoop loop,
      Coordinator coordinator,
      Supplier<ConfigurationDocument> configuration) {
    this.loop = loop;
    this.router = coordinator.router();
    this.coordinator = coordinator;
    this.configuration = configuration;
  }

  void apply(ConfigurationDocument document) {
    Map<UpstreamId, InetSocketAddress> next = new HashMap<>();
    for (Upstream upstream : document.upstreams()) {
      next.put(new UpstreamId(upstream.id()), address(upstream.address()));
    }
    addresses = next;
  }

  @Override
  public Mono<PlacementDecision> place(PlacementRequest request) {
    return loop.call(answer -> tryPlace(request, loop.nowMillis(), answer));
  }

  private void tryPlace(
      PlacementRequest request, long sinceMillis, Consumer<PlacementDecision> answer) {
    PlacementDecision decision = decide(request);
    if (mayWait(request, decision, sinceMillis)) {
      loop.after(WAIT_STEP_MILLIS, () -> tryPlace(request, sinceMillis, answer));
    } else {
      answer.accept(decision);
    }
  }

  private boolean mayWait(PlacementRequest request, PlacementDecision decision, long sinceMillis) {
    if (!(decision instanceof PlacementDecision.Refused refused)) {
      return false;
    }
    boolean passing =
        refused.refusal() == PlacementRefusal.COLD
            || refused.refusal() == PlacementRefusal.OVERLOADED;
    boolean waitedLong = loop.nowMillis() - sinceMillis >= MAX_WAIT_MILLIS;
    return passing && !waitedLong && request.deadline().remainingMillis() > MAX_WAIT_MILLIS;
  }

  private PlacementDecision decide(PlacementRequest request) {
    ModelId model = UpstreamSpecs.model(configuration.get(), request.target());
    // A request outside any chat keeps its place on a retry by its content.
    ChatId chat = request.chat().orElseGet(() -> new ChatId(request.fingerprint()));
    OrganisationId organisation = request.organisation().orElse(OPEN);
    RouteResult result = router.route(new RouteRequest(chat, model, organisation, request.tried()));
    return switch (result) {
      case RouteResult.Chosen chosen -> placed(chosen);
      case RouteResult.Refused refused ->
          new PlacementDecision.Refused(reason(refused.reason()), refused.retryAfterMillis());
    };
  }

  private PlacementDecision placed(RouteResult.Chosen chosen) {
    UpstreamId upstream = chosen.slot().upstream();
    return new PlacementDecision.Placed(
        upstream,
        addresses.get(upstream),
        outcome -> loop.execute(() -> release(chosen.slot(), outcome)));
  }

  private void release(Slot slot, AttemptOutcome outcome) {
    switch (outcome) {
      case AttemptOutcome.Answered answered ->
          coordinator.answered(slot.upstream(), answered.firstByteMillis());
      case AttemptOutcome.Unreachable unreachable -> coordinator.failed(slot.upstream());
      case AttemptOutcome.Lost lost -> coordinator.failed(slot.upstream());
      case AttemptOutcome.Stalled stalled -> coordinator.failed(slot.upstream());
      case AttemptOutcome.Cancelled cancelled -> {}
    }
    slot.release();
  }

  private static PlacementRefusal reason(RefusalReason reason) {
    return switch (reason) {
      case NO_UPSTREAM -> PlacementRefusal.UNKNOWN_MODEL;
      case OUT_OF_SERVICE, ALL_TRIED -> PlacementRefusal.NO_UPSTREAM;
      case OVERLOADED -> PlacementRefusal.OVERLOADED;
      case HELD_BACK, AWAITING_PERMIT -> PlacementRefusal.COLD;
    };
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
