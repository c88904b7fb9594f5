package org.ragworttide.daemon.runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.orders.Artifact;
import org.ragworttide.coordination.orders.EngineGoal;
import org.ragworttide.coordination.orders.OrderPolicy;
import org.ragworttide.coordination.orders.WantedState;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.OrdersSection;
import org.ragworttide.document.OrdersSection.Engine;
import org.ragworttide.document.OrdersSection.Fencing;

/** Converts the orders section of a document to the order policy of coordination; stateless. */
final class OrderPolicies {

  private OrderPolicies() {}

  static OrderPolicy of(ConfigurationDocument document) {
    Map<UpstreamId, EngineGoal> goals = new HashMap<>();
    for (Engine engine : document.orders().engines()) {
      WantedState wanted = new WantedState(artifacts(engine), engine.role());
      goals.put(
          new UpstreamId(engine.id()), new EngineGoal(wanted, engine.fencing() == Fencing.CHECKED));
    }
    return new OrderPolicy(
        document.version(),
        goals,
        document
            .orders()
            .store()
            .map(store -> new RateLimit(store.loadsPerSecond(), store.burst())));
  }

  /** Returns the names under which callers may request the loaded models and adapters. */
  static Set<String> names(Set<Artifact> loaded) {
    Set<String> names = new HashSet<>();
    loaded.forEach(artifact -> names.add(artifact.id()));
    return names;
  }

  private static List<Artifact> artifacts(Engine engine) {
    List<Artifact> artifacts = new ArrayList<>();
    for (OrdersSection.Weights model : engine.models()) {
      artifacts.add(new Artifact(Artifact.Kind.MODEL, model.id(), model.version()));
    }
    for (OrdersSection.Weights adapter : engine.adapters()) {
      artifacts.add(new Artifact(Artifact.Kind.ADAPTER, adapter.id(), adapter.version()));
    }
    return artifacts;
  }
}
