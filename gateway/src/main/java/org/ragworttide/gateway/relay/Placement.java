package org.ragworttide.gateway.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.EnginePlacement;
import org.ragworttide.coordination.placement.OutlierDetector;
import org.ragworttide.coordination.placement.Prompt;
import org.ragworttide.coordination.placement.ServicePlacement;
import org.ragworttide.coordination.placement.UpstreamLoad;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.ServicePolicy;
import org.ragworttide.gateway.upstream.Upstream;
import org.ragworttide.gateway.view.FleetView;

/**
 * Chooses the upstream of a request from what the VM believes.
 *
 * <p>Invariant: no upstream that leaves, of a zone taken out, or already tried is chosen. Confined
 * to the event loop.
 */
public final class Placement {
  private final FleetView view;
  private final ZoneId ownZone;
  private final ServicePlacement services;
  private final Map<ServiceName, EnginePlacement> engines = new HashMap<>();
  private final Map<ServiceName, OutlierDetector> outliers = new HashMap<>();

  /** Creates the placement of a VM in the zone. */
  public Placement(FleetView view, ZoneId ownZone) {
    this.view = view;
    this.ownZone = ownZone;
    this.services = new ServicePlacement(ownZone, new SplittableRandom());
  }

  /** Returns the service's record of failures. */
  OutlierDetector outliers(ServiceName service) {
    return outliers.computeIfAbsent(service, name -> new OutlierDetector());
  }

  Optional<Upstream> choose(
      ServiceName service, Optional<Prompt> prompt, Set<UpstreamId> tried, long nowMillis) {
    List<Upstream> candidates = healthy(service, tried, nowMillis);
    List<UpstreamLoad> loads = candidates.stream().map(Upstream::load).toList();
    Optional<UpstreamLoad> chosen =
        prompt.isPresent()
            ? engines(service).choose(prompt.get(), loads, fetches(service), nowMillis)
            : services.choose(loads, nowMillis);
    return chosen.flatMap(load -> candidates.stream().filter(it -> it.load() == load).findFirst());
  }

  /** Returns an engine that is likely to hold the prompt, if it isn't the chosen. */
  Optional<Upstream> holder(
      ServiceName service, Optional<Prompt> prompt, Upstream chosen, long nowMillis) {
    if (prompt.isEmpty() || !fetches(service)) {
      return Optional.empty();
    }
    OutlierDetector detector = outliers(service);
    Map<UpstreamLoad, Upstream> present = new LinkedHashMap<>();
    for (Upstream upstream : view.present(service)) {
      if (!detector.isOut(upstream.entry().id(), nowMillis)) {
        present.put(upstream.load(), upstream);
      }
    }
    return engines(service)
        .holder(prompt.get(), chosen.load(), List.copyOf(present.keySet()), nowMillis)
        .map(present::get);
  }

  /** Notes that the prompt goes to the upstream. */
  void sent(Optional<Prompt> prompt, Upstream upstream, long nowMillis) {
    prompt.ifPresent(it -> view.prompts().sent(it, upstream.load(), nowMillis));
  }

  private List<Upstream> healthy(ServiceName service, Set<UpstreamId> tried, long nowMillis) {
    OutlierDetector detector = outliers(service);
    List<Upstream> untried = new ArrayList<>();
    List<Upstream> healthy = new ArrayList<>();
    for (Upstream upstream : view.open(service)) {
      if (!tried.contains(upstream.entry().id())) {
        untried.add(upstream);
        if (!detector.isOut(upstream.entry().id(), nowMillis)) {
          healthy.add(upstream);
        }
      }
    }
    return healthy.isEmpty() ? untried : healthy;
  }

  private boolean fetches(ServiceName service) {
    return view.policy(service).filter(ServicePolicy::fetches).isPresent();
  }

  private EnginePlacement engines(ServiceName service) {
    return engines.computeIfAbsent(service, name -> new EnginePlacement(ownZone, view.prompts()));
  }
}
