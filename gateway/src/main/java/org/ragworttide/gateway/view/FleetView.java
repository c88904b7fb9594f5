package org.ragworttide.gateway.view;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.PeerLoads;
import org.ragworttide.coordination.placement.PromptIndex;
import org.ragworttide.coordination.quarantine.CrashSuspicions;
import org.ragworttide.gateway.model.CallerLimits;
import org.ragworttide.gateway.model.Configuration;
import org.ragworttide.gateway.model.Organisation;
import org.ragworttide.gateway.model.Route;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.ServicePolicy;
import org.ragworttide.gateway.model.UpstreamEntry;
import org.ragworttide.gateway.upstream.Upstream;

/**
 * What the VM believes: the configuration, the upstreams and the zones taken out.
 *
 * <p>Invariant: the configuration in force never gives way to one of an older revision. Confined to
 * the event loop, but for the wait for the first configuration.
 */
public final class FleetView {
  private final Map<UpstreamId, Upstream> upstreams = new HashMap<>();
  private final Map<ServiceName, List<Upstream>> byService = new HashMap<>();
  private final PeerLoads peers = new PeerLoads();
  private final PromptIndex prompts = new PromptIndex();
  private final CrashSuspicions crashes = new CrashSuspicions();
  private final Set<ZoneId> evacuated = new HashSet<>();
  private final CountDownLatch configured = new CountDownLatch(1);
  private Optional<Configuration> configuration = Optional.empty();
  private long configurationRevision;
  private RouteTable routes = new RouteTable(List.of());
  private KeyTable keys = new KeyTable(List.of());
  private Map<ServiceName, ServicePolicy> policies = Map.of();

  /**
   * Puts a configuration in force.
   *
   * @param revision the store's revision of it
   * @return whether it is newer than the one before
   */
  public boolean apply(Configuration next, long revision) {
    if (revision <= configurationRevision) {
      return false;
    }
    configurationRevision = revision;
    configuration = Optional.of(next);
    routes = new RouteTable(next.routes());
    keys = new KeyTable(next.organisations());
    Map<ServiceName, ServicePolicy> named = new HashMap<>();
    next.services().forEach(service -> named.put(service.name(), service));
    policies = named;
    configured.countDown();
    return true;
  }

  /** Waits for the first configuration, for a bounded time; for use by any other thread. */
  public void awaitConfiguration(long limitMillis) throws InterruptedException {
    configured.await(limitMillis, TimeUnit.MILLISECONDS);
  }

  /** Takes what an upstream publishes; a new start under a known id is a new upstream. */
  public void put(UpstreamEntry entry, long nowMillis) {
    Upstream known = upstreams.get(entry.id());
    if (known != null && known.isSameRun(entry)) {
      known.update(entry, nowMillis);
      return;
    }
    remove(entry.id(), nowMillis);
    Upstream added = new Upstream(entry, peers, nowMillis);
    upstreams.put(entry.id(), added);
    byService.computeIfAbsent(entry.service(), name -> new ArrayList<>()).add(added);
  }

  /** Takes the upstream out, which is gone. */
  public void remove(UpstreamId id, long nowMillis) {
    Upstream gone = upstreams.remove(id);
    if (gone != null) {
      byService.get(gone.entry().service()).remove(gone);
      crashed(gone, nowMillis);
      gone.close();
    }
  }

  /** Takes the zone out. */
  public boolean evacuate(ZoneId zone) {
    return evacuated.add(zone);
  }

  /** Takes the zone back. */
  public boolean restore(ZoneId zone) {
    return evacuated.remove(zone);
  }

  /** Returns the zones taken out. */
  public Set<ZoneId> evacuated() {
    return Collections.unmodifiableSet(evacuated);
  }

  /** Returns the configuration in force, empty before the first. */
  public Optional<Configuration> configuration() {
    return configuration;
  }

  /** Returns what callers may send. */
  public CallerLimits limits() {
    return configuration.map(Configuration::limits).orElse(CallerLimits.DEFAULTS);
  }

  /** Returns the route of a request. */
  public Optional<Route> route(String hostHeader, String target) {
    return routes.find(hostHeader, target);
  }

  /** Returns the organisation that holds the key. */
  public Optional<Organisation> holder(String key) {
    return keys.holder(key);
  }

  /** Returns the service's policy, empty if it isn't configured. */
  public Optional<ServicePolicy> policy(ServiceName service) {
    return Optional.ofNullable(policies.get(service));
  }

  /** Returns the requests of other VMs. */
  public PeerLoads peers() {
    return peers;
  }

  /** Returns which engines hold which prompts. */
  public PromptIndex prompts() {
    return prompts;
  }

  /** Returns which requests are suspected of crashing upstreams. */
  public CrashSuspicions crashes() {
    return crashes;
  }

  /** Takes that an upstream refuses connections: it has lost what it held and what it ran. */
  public void crashed(Upstream upstream, long nowMillis) {
    prompts.forget(upstream.load().key());
    crashes.gone(upstream.runKey(), nowMillis);
  }

  /** Returns all upstreams. */
  public Collection<Upstream> upstreams() {
    return Collections.unmodifiableCollection(upstreams.values());
  }

  /** Returns all upstreams of the service, those that leave or are taken out included. */
  public List<Upstream> present(ServiceName service) {
    return List.copyOf(byService.getOrDefault(service, List.of()));
  }

  /** Returns the service's upstreams to which new requests may go. */
  public List<Upstream> open(ServiceName service) {
    List<Upstream> open = new ArrayList<>();
    for (Upstream upstream : byService.getOrDefault(service, List.of())) {
      if (!upstream.entry().draining() && !evacuated.contains(upstream.entry().zone())) {
        open.add(upstream);
      }
    }
    return open;
  }
}
