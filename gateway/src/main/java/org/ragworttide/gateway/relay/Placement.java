package org.ragworttide.gateway.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.EnginePlacement;
import org.ragworttide.coordination.placement.OutlierDetector;
import org.ragworttide.coordination.placement.Prompt;
import org.ragworttide.coordination.placement.ServicePlacement;
import org.ragworttide.coordination.placement.UpstreamLoad;
import org.ragworttide.coordination.streams.SoftwareVersion;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.ServicePolicy;
import org.ragworttide.gateway.upstream.Upstream;
import org.ragworttide.gateway.view.FleetView;

/**
 * Chooses the upstream of a request from the VM's view of the fleet.
 *
 * <p>Invariant: it never chooses an upstream that is in an evacuated availability zone, already
 * tried or of another version than a stream that is continued; nor one that is draining, unless
 * only upstreams that have just begun to drain can continue the stream; nor one in a zone that the
 * VM cannot reach while there is another, nor one in a zone that no other VM reaches either.
 * Confined to the event loop.
 */
public final class Placement {
  private final FleetView view;
  private final UpstreamPaths paths;
  private final ZoneTraffic traffic;
  private final ZoneId ownZone;
  private final SplittableRandom random = new SplittableRandom();
  private final ServicePlacement servicePlacement;
  private final Map<ServiceName, EnginePlacement> enginePlacements = new HashMap<>();
  private final Map<ServiceName, OutlierDetector> outlierDetectors = new HashMap<>();

  /**
   * Creates the placement of a VM.
   *
   * @param view the VM's view of the fleet
   * @param paths the ways to upstreams
   * @param traffic the share of requests that leaves the zone
   * @param ownZone the VM's availability zone
   */
  public Placement(FleetView view, UpstreamPaths paths, ZoneTraffic traffic, ZoneId ownZone) {
    this.view = view;
    this.paths = paths;
    this.traffic = traffic;
    this.ownZone = ownZone;
    this.servicePlacement = new ServicePlacement(ownZone, random);
  }

  /** Returns the service's outlier detector. */
  OutlierDetector outlierDetector(ServiceName service) {
    return outlierDetectors.computeIfAbsent(service, name -> new OutlierDetector());
  }

  /**
   * Chooses an upstream.
   *
   * @param version the version that began the stream, empty if any upstream may serve the request
   */
  Optional<Upstream> choose(
      ServiceName service,
      Optional<SoftwareVersion> version,
      Optional<Prompt> prompt,
      Set<UpstreamId> tried,
      long nowMillis) {
    List<Upstream> candidates = candidates(service, version, tried, nowMillis);
    List<UpstreamLoad> loads = candidates.stream().map(Upstream::load).toList();
    Optional<UpstreamLoad> chosen =
        prompt.isPresent()
            ? enginePlacement(service)
                .choose(
                    prompt.get(), loads, presentLoads(service), canFetchCache(service), nowMillis)
            : choosePlain(service, loads, nowMillis);
    return chosen.flatMap(load -> candidates.stream().filter(it -> it.load() == load).findFirst());
  }

  private Optional<UpstreamLoad> choosePlain(
      ServiceName service, List<UpstreamLoad> loads, long nowMillis) {
    OptionalDouble leavingShare = traffic.share(service);
    return leavingShare.isPresent()
        ? servicePlacement.choose(loads, leavingShare.getAsDouble(), nowMillis)
        : servicePlacement.choose(loads, nowMillis);
  }

  /**
   * Returns the milliseconds until the pause or limit of one of the service's available upstreams
   * admits a request; 0 if one of them wants requests or is only leaving.
   */
  long waitMillis(ServiceName service, long nowMillis) {
    return view.availableUpstreams(service).stream()
        .mapToLong(it -> it.load().availability().waitMillis(nowMillis))
        .min()
        .orElse(0);
  }

  /** Returns whether an available upstream of the service names a limit on requests. */
  boolean isLimited(ServiceName service, long nowMillis) {
    return view.availableUpstreams(service).stream()
        .anyMatch(it -> it.load().availability().limit(nowMillis).isPresent());
  }

  /** Returns an engine other than the chosen one that is likely to have the prompt cached. */
  Optional<Upstream> fetchSource(
      ServiceName service, Optional<Prompt> prompt, Upstream chosen, long nowMillis) {
    if (prompt.isEmpty() || !canFetchCache(service)) {
      return Optional.empty();
    }
    OutlierDetector detector = outlierDetector(service);
    Map<UpstreamLoad, Upstream> healthyByLoad = new LinkedHashMap<>();
    for (Upstream upstream : paths.reachable(view.upstreamsOf(service))) {
      if (!detector.isEjected(upstream.entry().id(), nowMillis)) {
        healthyByLoad.put(upstream.load(), upstream);
      }
    }
    return enginePlacement(service)
        .fetchSource(prompt.get(), chosen.load(), List.copyOf(healthyByLoad.keySet()), nowMillis)
        .map(healthyByLoad::get);
  }

  /** Records that the prompt is sent to the upstream. */
  void recordSent(Optional<Prompt> prompt, Upstream upstream, long nowMillis) {
    prompt.ifPresent(it -> view.prompts().recordSentPrompt(it, upstream.load(), nowMillis));
  }

  private List<Upstream> candidates(
      ServiceName service,
      Optional<SoftwareVersion> version,
      Set<UpstreamId> tried,
      long nowMillis) {
    OutlierDetector detector = outlierDetector(service);
    List<Upstream> untried = new ArrayList<>();
    List<Upstream> healthy = new ArrayList<>();
    for (Upstream upstream : paths.reachable(admitted(service, version, nowMillis))) {
      if (!tried.contains(upstream.entry().id())) {
        untried.add(upstream);
        if (!detector.isEjected(upstream.entry().id(), nowMillis)) {
          healthy.add(upstream);
        }
      }
    }
    return healthy.isEmpty() ? untried : healthy;
  }

  /**
   * Returns the available upstreams that may serve the request; for a stream whose version no
   * available one has, those that have just begun to drain.
   */
  private List<Upstream> admitted(
      ServiceName service, Optional<SoftwareVersion> version, long nowMillis) {
    List<Upstream> available = view.availableUpstreams(service);
    if (version.isEmpty()) {
      return available;
    }
    List<Upstream> ofVersion = available.stream().filter(it -> isOf(version.get(), it)).toList();
    return ofVersion.isEmpty()
        ? view.servingUpstreams(service).stream()
            .filter(it -> isOf(version.get(), it) && it.admitsAsLastResort(nowMillis))
            .toList()
        : ofVersion;
  }

  private static boolean isOf(SoftwareVersion version, Upstream upstream) {
    return upstream.entry().softwareVersion().equals(version);
  }

  private List<UpstreamLoad> presentLoads(ServiceName service) {
    return view.upstreamsOf(service).stream().map(Upstream::load).toList();
  }

  private boolean canFetchCache(ServiceName service) {
    return view.policy(service).filter(ServicePolicy::canFetchCache).isPresent();
  }

  private EnginePlacement enginePlacement(ServiceName service) {
    return enginePlacements.computeIfAbsent(
        service, name -> new EnginePlacement(ownZone, view.prompts(), random));
  }
}
