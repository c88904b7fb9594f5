package org.ragworttide.daemon.decision;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.daemon.decision.PlacementRequest.Target;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Route;
import org.ragworttide.document.ConfigurationDocument.RouteKind;
import org.ragworttide.document.ConfigurationDocument.Service;
import org.ragworttide.document.ConfigurationDocument.Upstream;
import org.ragworttide.document.ConfigurationDocument.UpstreamKind;
import reactor.core.publisher.Mono;

/**
 * Places requests within one daemon, for tests of the HTTP path without coordination.
 *
 * <p>Invariant: a chat goes to the first of its candidates in rendezvous order; a request without
 * chat goes to the candidate with the fewest requests in flight. Safe for use by any thread.
 */
public final class LocalPlacement implements Placement {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final Supplier<ConfigurationDocument> configuration;
  private final Map<UpstreamId, AtomicInteger> inFlight = new ConcurrentHashMap<>();

  /** Creates a placement over the upstreams of the configuration. */
  public LocalPlacement(Supplier<ConfigurationDocument> configuration) {
    this.configuration = configuration;
  }

  @Override
  public Mono<PlacementDecision> place(PlacementRequest request) {
    return Mono.fromSupplier(() -> decide(request));
  }

  /** Returns the attempts in flight on an upstream. */
  public int inFlight(UpstreamId upstream) {
    return counter(upstream).get();
  }

  private PlacementDecision decide(PlacementRequest request) {
    ConfigurationDocument document = configuration.get();
    List<Upstream> serving = serving(document, request.target());
    if (serving.isEmpty() && request.target() instanceof Target.Model) {
      return new PlacementDecision.Refused(PlacementRefusal.UNKNOWN_MODEL, 0);
    }
    Set<String> zonesOutOfService = zonesOutOfService(document);
    List<Upstream> candidates =
        serving.stream()
            .filter(upstream -> upstream.service() == Service.IN)
            .filter(upstream -> !zonesOutOfService.contains(upstream.zone()))
            .filter(upstream -> !request.tried().contains(new UpstreamId(upstream.id())))
            .toList();
    if (candidates.isEmpty()) {
      return new PlacementDecision.Refused(PlacementRefusal.NO_UPSTREAM, RETRY_AFTER_MILLIS);
    }
    return placed(choose(request, candidates));
  }

  private static Set<String> zonesOutOfService(ConfigurationDocument document) {
    Set<String> out = new HashSet<>();
    for (ConfigurationDocument.Zone zone : document.zones()) {
      if (zone.service() == Service.OUT) {
        out.add(zone.id());
      }
    }
    return out;
  }

  private static List<Upstream> serving(ConfigurationDocument document, Target target) {
    return switch (target) {
      case Target.Model model ->
          upstreamsOfRoute(document, model.route()).stream()
              .filter(upstream -> upstream.kind() == UpstreamKind.ENGINE)
              .filter(upstream -> upstream.models().contains(model.name()))
              .toList();
      case Target.ServiceRoute service -> upstreamsOfRoute(document, service.id());
    };
  }

  private static List<Upstream> upstreamsOfRoute(ConfigurationDocument document, String id) {
    Route route =
        document.routes().stream().filter(r -> r.id().equals(id)).findFirst().orElse(null);
    if (route == null) {
      return List.of();
    }
    return document.upstreams().stream().filter(upstream -> serves(route, upstream)).toList();
  }

  private static boolean serves(Route route, Upstream upstream) {
    boolean anyEngine = route.kind() == RouteKind.CHAT && route.upstreams().isEmpty();
    return anyEngine || route.upstreams().contains(upstream.id());
  }

  private Upstream choose(PlacementRequest request, List<Upstream> candidates) {
    return request
        .chat()
        .map(chat -> Rendezvous.order(chat.value(), candidates, Upstream::id).getFirst())
        .orElseGet(() -> leastLoaded(candidates));
  }

  private Upstream leastLoaded(List<Upstream> candidates) {
    return candidates.stream()
        .min(Comparator.comparingInt(upstream -> inFlight(new UpstreamId(upstream.id()))))
        .orElseThrow();
  }

  private PlacementDecision placed(Upstream upstream) {
    UpstreamId id = new UpstreamId(upstream.id());
    AtomicInteger counter = counter(id);
    counter.incrementAndGet();
    AtomicBoolean released = new AtomicBoolean();
    Slot slot =
        outcome -> {
          if (released.compareAndSet(false, true)) {
            counter.decrementAndGet();
          }
        };
    return new PlacementDecision.Placed(id, address(upstream.address()), slot);
  }

  private AtomicInteger counter(UpstreamId id) {
    return inFlight.computeIfAbsent(id, unused -> new AtomicInteger());
  }

  private static InetSocketAddress address(String hostAndPort) {
    int colon = hostAndPort.lastIndexOf(':');
    int port = Integer.parseInt(hostAndPort.substring(colon + 1));
    return InetSocketAddress.createUnresolved(hostAndPort.substring(0, colon), port);
  }
}
