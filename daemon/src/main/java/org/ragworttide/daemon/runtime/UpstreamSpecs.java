package org.ragworttide.daemon.runtime;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.routing.UpstreamSpec;
import org.ragworttide.daemon.decision.PlacementRequest.Target;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Route;
import org.ragworttide.document.ConfigurationDocument.RouteKind;
import org.ragworttide.document.ConfigurationDocument.Service;
import org.ragworttide.document.ConfigurationDocument.Upstream;

/**
 * Converts the upstreams of a configuration to those of the router, which selects by model only.
 *
 * <p>Invariant: a service route, and a chat route that is restricted to some engines, has a model
 * of its own, whose name no real model can have. Stateless, safe for use by any thread.
 */
final class UpstreamSpecs {
  private static final char SEPARATOR = '\n';
  private static final int MAX_IN_FLIGHT = 4_096;

  private UpstreamSpecs() {}

  static List<UpstreamSpec> of(ConfigurationDocument document) {
    return document.upstreams().stream().map(upstream -> spec(document, upstream)).toList();
  }

  static ModelId model(ConfigurationDocument document, Target target) {
    return switch (target) {
      case Target.ServiceRoute route -> serviceModel(route.id());
      case Target.Model model ->
          document.routes().stream()
              .filter(route -> route.id().equals(model.route()))
              .filter(route -> !route.upstreams().isEmpty())
              .map(route -> restrictedModel(route, model.name()))
              .findFirst()
              .orElseGet(() -> new ModelId(model.name()));
    };
  }

  /** Returns the router's models of an engine that are not among its loaded ones. */
  static Set<ModelId> missingModels(
      ConfigurationDocument document, Upstream engine, Set<String> loaded) {
    List<String> missing = engine.models().stream().filter(name -> !loaded.contains(name)).toList();
    return missing.isEmpty() ? Set.of() : models(document, engine, missing);
  }

  private static UpstreamSpec spec(ConfigurationDocument document, Upstream upstream) {
    return new UpstreamSpec(
        new UpstreamId(upstream.id()),
        new ZoneId(upstream.zone()),
        models(document, upstream, upstream.models()),
        upstream.service() == Service.IN,
        upstream.coldConcurrency(),
        MAX_IN_FLIGHT);
  }

  private static Set<ModelId> models(
      ConfigurationDocument document, Upstream upstream, List<String> names) {
    Set<ModelId> models = new HashSet<>();
    names.forEach(name -> models.add(new ModelId(name)));
    for (Route route : document.routes()) {
      if (!route.upstreams().contains(upstream.id())) {
        continue;
      }
      if (route.kind() == RouteKind.SERVICE) {
        models.add(serviceModel(route.id()));
      } else {
        names.forEach(name -> models.add(restrictedModel(route, name)));
      }
    }
    return models;
  }

  private static ModelId serviceModel(String route) {
    return new ModelId("service" + SEPARATOR + route);
  }

  private static ModelId restrictedModel(Route route, String model) {
    return new ModelId(route.id() + SEPARATOR + model);
  }
}
