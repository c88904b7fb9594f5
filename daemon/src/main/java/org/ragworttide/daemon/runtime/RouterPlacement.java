package org.ragworttide.daemon.runtime;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.routing.RefusalReason;
import org.ragworttide.coordination.routing.RouteRequest;
import org.ragworttide.coordination.routing.RouteResult;
import org.ragworttide.coordination.routing.Router;
import org.ragworttide.coordination.routing.ZoneState;
import org.ragworttide.daemon.decision.Placement;
import org.ragworttide.daemon.decision.PlacementDecision;
import org.ragworttide.daemon.decision.PlacementRefusal;
import org.ragworttide.daemon.decision.PlacementRequest;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Service;
import org.ragworttide.document.ConfigurationDocument.Upstream;
import org.ragworttide.document.ConfigurationDocument.Zone;
import reactor.core.publisher.Mono;

/**
 * Places requests by the router of the coordination library.
 *
 * <p>Invariant: the router is touched on the coordination thread only. Safe for use by any thread.
 */
final class RouterPlacement implements Placement {
  private static final OrganisationId OPEN = new OrganisationId("open");

  private final CoordinationLoop loop;
  private final Router router;
  private final Supplier<ConfigurationDocument> configuration;
  private Map<UpstreamId, InetSocketAddress> addresses = Map.of();

  RouterPlacement(
      CoordinationLoop loop, Router router, Supplier<ConfigurationDocument> configuration) {
    this.loop = loop;
    this.router = router;
    this.configuration = configuration;
  }

  void apply(ConfigurationDocument document) {
    Map<UpstreamId, InetSocketAddress> next = new HashMap<>();
    for (Upstream upstream : document.upstreams()) {
      next.put(new UpstreamId(upstream.id()), address(upstream.address()));
    }
    addresses = next;
    router.facts().upstreams(UpstreamSpecs.of(document));
    router.facts().zones(zones(document));
  }

  @Override
  public Mono<PlacementDecision> place(PlacementRequest request) {
    return loop.call(answer -> answer.accept(decide(request)));
  }

  private static Map<ZoneId, ZoneState> zones(ConfigurationDocument document) {
    Map<ZoneId, ZoneState> states = new HashMap<>();
    for (Zone zone : document.zones()) {
      states.put(
          new ZoneId(zone.id()), zone.service() == Service.IN ? ZoneState.IN : ZoneState.OUT);
    }
    return states;
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
        upstream, addresses.get(upstream), outcome -> loop.execute(() -> chosen.slot().release()));
  }

  private static PlacementRefusal reason(RefusalReason reason) {
    return switch (reason) {
      case NO_UPSTREAM -> PlacementRefusal.UNKNOWN_MODEL;
      case OUT_OF_SERVICE, ALL_TRIED -> PlacementRefusal.NO_UPSTREAM;
      case OVERLOADED -> PlacementRefusal.OVERLOADED;
      case HELD_BACK -> PlacementRefusal.COLD;
    };
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
