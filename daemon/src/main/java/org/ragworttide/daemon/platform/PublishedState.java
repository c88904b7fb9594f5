package org.ragworttide.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.orders.Artifact;
import org.ragworttide.coordination.orders.EngineState;

/** Reads the weights, role and orders in the report of an engine; stateless. */
final class PublishedState {

  private PublishedState() {}

  /** Returns the state, empty if the report has none; missing names read as empty. */
  static Optional<EngineState> read(JsonNode state) {
    if (!state.isObject()) {
      return Optional.empty();
    }
    return Optional.of(
        new EngineState(
            state.path("fencingNumber").asLong(),
            artifacts(state.path("loaded")),
            artifacts(state.path("loading")),
            state.path("role").asText()));
  }

  private static Set<Artifact> artifacts(JsonNode lists) {
    Set<Artifact> artifacts = new HashSet<>();
    add(artifacts, Artifact.Kind.MODEL, lists.path("models"));
    add(artifacts, Artifact.Kind.ADAPTER, lists.path("adapters"));
    return artifacts;
  }

  private static void add(Set<Artifact> artifacts, Artifact.Kind kind, JsonNode list) {
    list.forEach(
        entry ->
            artifacts.add(
                new Artifact(kind, entry.path("id").asText(), entry.path("version").asText())));
  }
}
