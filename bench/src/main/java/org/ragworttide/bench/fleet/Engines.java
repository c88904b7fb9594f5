package org.ragworttide.bench.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.routing.UpstreamSpec;

/**
 * Simulated engines of a fleet, modelled only by their counts of requests in flight.
 *
 * <p>Not safe for use by several threads.
 */
final class Engines {
  private static final int ZONES = 3;
  private static final int MAX_MODELS = 39;
  private static final int ENGINES_PER_MODEL = 12;
  private static final int COLD_LIMIT = 8;
  private static final int MAX_IN_FLIGHT = 400;

  private final List<UpstreamSpec> specs = new ArrayList<>();
  private final Map<UpstreamId, Integer> inFlight = new HashMap<>();
  private final int models;

  Engines(int count) {
    models = Math.max(1, Math.min(MAX_MODELS, count / ENGINES_PER_MODEL));
    for (int i = 0; i < count; i++) {
      UpstreamId id = new UpstreamId("engine-" + i);
      ZoneId zone = new ZoneId("zone-" + i % ZONES);
      specs.add(new UpstreamSpec(id, zone, Set.of(model(i)), true, COLD_LIMIT, MAX_IN_FLIGHT));
      inFlight.put(id, 0);
    }
  }

  List<UpstreamSpec> specs() {
    return specs;
  }

  Map<UpstreamId, Integer> coldLimits() {
    Map<UpstreamId, Integer> limits = new HashMap<>();
    specs.forEach(spec -> limits.put(spec.id(), spec.coldLimit()));
    return limits;
  }

  /** Returns the model of the engine with this index. */
  ModelId model(int index) {
    return new ModelId("model-" + index % models);
  }

  int inFlight(UpstreamId engine) {
    return inFlight.get(engine);
  }

  void recordStart(UpstreamId engine) {
    inFlight.merge(engine, 1, Integer::sum);
  }

  void recordEnd(UpstreamId engine) {
    inFlight.merge(engine, -1, Integer::sum);
  }
}
