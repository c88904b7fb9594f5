package org.ragworttide.cli;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Key;
import org.ragworttide.document.ConfigurationDocument.Organisation;
import org.ragworttide.document.ConfigurationDocument.Route;
import org.ragworttide.document.ConfigurationDocument.RouteKind;
import org.ragworttide.document.ConfigurationDocument.Service;
import org.ragworttide.document.ConfigurationDocument.Upstream;
import org.ragworttide.document.ConfigurationDocument.Zone;

/**
 * Determines how a request would be routed and limited, from the configuration document only.
 *
 * <p>Invariant: candidates are in the order that every daemon uses for the chat. Immutable, safe
 * for use by any thread.
 */
final class Explainer {
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final ConfigurationDocument document;
  private final Set<String> zonesInService;

  Explainer(ConfigurationDocument document) {
    this.document = document;
    zonesInService =
        document.zones().stream()
            .filter(zone -> zone.service() == Service.IN)
            .map(Zone::id)
            .collect(Collectors.toUnmodifiableSet());
  }

  Explanation explain(Command.Explain request) {
    Optional<Route> route =
        document.routes().stream().filter(r -> r.path().equals(request.path())).findFirst();
    if (route.isEmpty()) {
      return new Explanation.Refused(NOT_FOUND, "no route has the path " + request.path());
    }
    Optional<Organisation> organisation = request.keyDigest().flatMap(this::organisation);
    if (!route.get().open() && organisation.isEmpty()) {
      return new Explanation.Refused(
          UNAUTHORIZED, "the route " + route.get().id() + " needs a key that is not withdrawn");
    }
    return route(route.get(), route.get().open() ? Optional.empty() : organisation, request);
  }

  private Explanation route(
      Route route, Optional<Organisation> organisation, Command.Explain request) {
    List<Upstream> serving =
        document.upstreams().stream().filter(up -> serves(route, up, request)).toList();
    List<Explanation.Candidate> candidates =
        Rendezvous.order(request.chat().orElse(""), serving, Upstream::id).stream()
            .map(up -> new Explanation.Candidate(up.id(), up.zone(), acceptsRequests(up)))
            .toList();
    if (candidates.stream().noneMatch(Explanation.Candidate::takesWork)) {
      return new Explanation.Refused(
          UNAVAILABLE, "no upstream in service serves the route " + route.id());
    }
    return new Explanation.Routed(route, organisation, candidates);
  }

  private static boolean serves(Route route, Upstream upstream, Command.Explain request) {
    if (!route.upstreams().isEmpty() && !route.upstreams().contains(upstream.id())) {
      return false;
    }
    return route.kind() == RouteKind.SERVICE
        ? route.upstreams().contains(upstream.id())
        : request.model().map(upstream.models()::contains).orElse(!upstream.models().isEmpty());
  }

  private boolean acceptsRequests(Upstream upstream) {
    return upstream.service() == Service.IN && zonesInService.contains(upstream.zone());
  }

  private Optional<Organisation> organisation(String digest) {
    return document.keys().stream()
        .filter(key -> key.sha256().equals(digest) && !key.withdrawn())
        .map(Key::organisation)
        .findFirst()
        .flatMap(
            id -> document.organisations().stream().filter(o -> o.id().equals(id)).findFirst());
  }
}
