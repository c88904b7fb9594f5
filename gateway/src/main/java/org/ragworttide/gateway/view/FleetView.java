package org.ragworttide.gateway.view;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.placement.LoadReport;
import org.ragworttide.coordination.placement.PeerLoads;
import org.ragworttide.coordination.placement.PromptIndex;
import org.ragworttide.coordination.placement.RequestLimit;
import org.ragworttide.coordination.placement.StatedLimit;
import org.ragworttide.coordination.quarantine.CrashReport;
import org.ragworttide.coordination.quarantine.CrashSuspicions;
import org.ragworttide.coordination.quarantine.Suspect;
import org.ragworttide.coordination.quarantine.SuspicionStatement;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.model.CallerLimits;
import org.ragworttide.gateway.model.Configuration;
import org.ragworttide.gateway.model.Organisation;
import org.ragworttide.gateway.model.Route;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.model.ServicePolicy;
import org.ragworttide.gateway.model.UpstreamEntry;
import org.ragworttide.gateway.upstream.Upstream;

/**
 * The VM's view of the fleet: the configuration, the upstreams, the evacuated availability zones,
 * the loads that other VMs report, the prompts that engines have cached and what is suspected of
 * crashing upstreams.
 *
 * <p>Invariant: the current configuration is never replaced by one of a lower version. Confined to
 * the event loop, except for {@link #awaitConfiguration}.
 */
public final class FleetView {
  /** Removed upstreams that are kept: as many as a fleet replaces within minutes. */
  private static final int MAX_REMOVED_STATED = 1_024;

  private final Map<UpstreamId, Upstream> upstreams = new HashMap<>();
  private final Map<Integer, Upstream> byIncarnation = new HashMap<>();
  private final Map<ServiceName, List<Upstream>> byService = new HashMap<>();

  private final ObservedVersions versions = new ObservedVersions();

  /** Removed upstreams that had stated something, whose entries may be published again. */
  private final Map<UpstreamId, Upstream> removedStated =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamId, Upstream> eldest) {
          return size() > MAX_REMOVED_STATED;
        }
      };

  private final PeerLoads peers = new PeerLoads();
  private final PromptIndex prompts = new PromptIndex();
  private final CrashSuspicions crashes =
      new CrashSuspicions(peers::fleetSize, new SplittableRandom());
  private final Set<ZoneId> evacuatedZones = new HashSet<>();
  private final CountDownLatch configured = new CountDownLatch(1);
  private Optional<Configuration> configuration = Optional.empty();
  private RouteTable routes = new RouteTable(List.of());
  private KeyTable keys = new KeyTable(List.of());
  private Map<ServiceName, ServicePolicy> policies = Map.of();
  private final BrittleServices brittle = new BrittleServices(() -> policies.keySet());

  /**
   * Applies a configuration unless its version is lower than that of the current one. The store's
   * revisions do not count: it gives them out again after it has returned from a copy.
   *
   * @return whether the configuration has been applied
   */
  public boolean apply(Configuration next) {
    if (configuration.isPresent() && next.version() < configuration.get().version()) {
      return false;
    }
    configuration = Optional.of(next);
    routes = new RouteTable(next.routes());
    keys = new KeyTable(next.organisations());
    Map<ServiceName, ServicePolicy> byName = new HashMap<>();
    next.services().forEach(service -> byName.put(service.name(), service));
    policies = byName;
    configured.countDown();
    return true;
  }

  /**
   * Waits at most the given time for the first configuration; must not be called on the event loop.
   */
  public void awaitConfiguration(long timeoutMillis) throws InterruptedException {
    configured.await(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Adds or updates an upstream. An entry of another incarnation, such as after a restart under the
   * same id, replaces the upstream.
   */
  public void put(UpstreamEntry entry, long nowMillis) {
    Upstream known = upstreams.get(entry.id());
    if (known != null && known.isSameIncarnation(entry)) {
      known.update(entry, nowMillis);
      return;
    }
    remove(entry.id(), nowMillis);
    Upstream added = new Upstream(entry, peers, nowMillis);
    Upstream earlier = removedStated.remove(entry.id());
    if (earlier != null && earlier.isSameIncarnation(entry)) {
      added.inherit(earlier);
    }
    upstreams.put(entry.id(), added);
    byIncarnation.put(added.incarnationKey(), added);
    byService.computeIfAbsent(entry.service(), name -> new ArrayList<>()).add(added);
    versions.recordPresent(entry, nowMillis);
  }

  /** Removes an upstream whose entry was deleted or belongs to an earlier incarnation. */
  public void remove(UpstreamId id, long nowMillis) {
    Upstream removed = upstreams.remove(id);
    if (removed != null) {
      byIncarnation.remove(removed.incarnationKey(), removed);
      byService.get(removed.entry().service()).remove(removed);
      versions.recordGone(removed.entry(), nowMillis);
      if (removed.load().availability().isStated(nowMillis)) {
        removedStated.put(id, removed);
      }
      recordCrash(removed, nowMillis);
      removed.close();
    }
  }

  /**
   * Excludes the upstreams of an availability zone; returns whether it was not evacuated before.
   */
  public boolean evacuate(ZoneId zone) {
    return evacuatedZones.add(zone);
  }

  /** Admits the upstreams of an availability zone again; returns whether it was evacuated. */
  public boolean restore(ZoneId zone) {
    return evacuatedZones.remove(zone);
  }

  /** Returns the evacuated availability zones. */
  public Set<ZoneId> evacuatedZones() {
    return Collections.unmodifiableSet(evacuatedZones);
  }

  /** Returns the current configuration, empty before the first has been applied. */
  public Optional<Configuration> configuration() {
    return configuration;
  }

  /** Returns the limits on requests and connections of callers. */
  public CallerLimits limits() {
    return configuration.map(Configuration::limits).orElse(CallerLimits.DEFAULTS);
  }

  /** Returns the route that matches the host and path of a request. */
  public Optional<Route> route(String hostHeader, String target) {
    return routes.find(hostHeader, target);
  }

  /** Returns the organisation that the key belongs to. */
  public Optional<Organisation> organisationOf(String key) {
    return keys.organisationOf(key);
  }

  /** Returns the service's policy, empty if the service is not configured. */
  public Optional<ServicePolicy> policy(ServiceName service) {
    return Optional.ofNullable(policies.get(service));
  }

  /** Returns the loads that other VMs report. */
  public PeerLoads peers() {
    return peers;
  }

  /** Returns the services whose upstreams are brittle. */
  public BrittleServices brittle() {
    return brittle;
  }

  /** Returns the index of the prompts that engines have cached. */
  public PromptIndex prompts() {
    return prompts;
  }

  /** Returns what is suspected of crashing upstreams. */
  public CrashSuspicions crashes() {
    return crashes;
  }

  /** Records that an upstream cannot be reached: its cached prompts are probably lost. */
  public void recordUnreachable(Upstream upstream) {
    prompts.removeEngine(upstream.load().key());
  }

  /**
   * Records that an upstream was removed or refuses connections: its cached prompts are lost, and
   * requests that it failed to answer shortly before may have crashed it.
   */
  public void recordCrash(Upstream upstream, long nowMillis) {
    recordUnreachable(upstream);
    List<CrashReport> counted = crashes.recordUpstreamGone(upstream.incarnationKey(), nowMillis);
    if (!counted.isEmpty()) {
      EventLog.log(LogEvent.UPSTREAM_CRASHED, upstream.entry().id(), counted);
      logQuarantineChanges();
    }
  }

  /** Records a request limit that another VM states, with its time on this VM's clock. */
  public void recordPeerLimit(StatedLimit stated, long nowMillis) {
    Upstream upstream = byIncarnation.get(stated.upstream());
    if (upstream != null) {
      upstream.recordRequestLimit(
          new RequestLimit(stated.perSecond(), stated.namedAtMillis()), nowMillis);
    }
  }

  /** Records that an upstream is leaving, as another VM states by the key of its incarnation. */
  public void recordPeerLeaving(int incarnationKey, long nowMillis) {
    Upstream upstream = byIncarnation.get(incarnationKey);
    if (upstream != null) {
      upstream.recordLeaving(nowMillis);
    }
  }

  /** Records that an upstream wants no requests of this VM for some time, as another VM tells. */
  public void recordPeerPause(int incarnationKey, long millis, long nowMillis) {
    Upstream upstream = byIncarnation.get(incarnationKey);
    if (upstream != null) {
      upstream.recordPause(millis, nowMillis);
    }
  }

  /** Returns the request limits to state to other VMs. */
  public List<StatedLimit> requestLimits(long nowMillis) {
    List<StatedLimit> limits = new ArrayList<>();
    for (Upstream upstream : upstreams.values()) {
      upstream
          .load()
          .availability()
          .limitNews(nowMillis)
          .map(it -> new StatedLimit(upstream.incarnationKey(), it.perSecond(), it.namedAtMillis()))
          .ifPresent(limits::add);
    }
    return limits;
  }

  /**
   * Records a report of an upstream that another VM passes on, with its time on this VM's clock.
   */
  public void recordPeerReport(LoadReport report) {
    Upstream upstream = byIncarnation.get(report.upstream());
    if (upstream != null) {
      upstream.load().recordReport(report.requests(), report.atMillis());
    }
  }

  /** Returns the last reports of the upstreams on their requests. */
  public List<LoadReport> loadReports() {
    return upstreams.values().stream().flatMap(it -> it.load().report().stream()).toList();
  }

  /** Returns the keys of the incarnations that are leaving. */
  public Set<Integer> leavingIncarnations() {
    Set<Integer> leaving = new HashSet<>();
    for (Upstream upstream : upstreams.values()) {
      if (upstream.load().availability().isLeaving()) {
        leaving.add(upstream.incarnationKey());
      }
    }
    return leaving;
  }

  /**
   * Returns the requests per second that an upstream tolerates while it is cold, 0 if unknown.
   *
   * @param incarnationKey the key of the upstream's incarnation
   */
  public double coldPerSecond(int incarnationKey) {
    return Optional.ofNullable(byIncarnation.get(incarnationKey))
        .flatMap(upstream -> policy(upstream.entry().service()))
        .map(ServicePolicy::coldPerSecond)
        .orElse(0.0);
  }

  /** Records what another VM states of suspects, with its times on this VM's clock. */
  public void recordPeerSuspicions(VmId peer, SuspicionStatement statement, long nowMillis) {
    for (CrashReport report : statement.reports()) {
      crashes
          .recordReport(report, nowMillis)
          .ifPresent(counted -> EventLog.log(LogEvent.CRASH_REPORTED, peer, counted));
    }
    statement.clearances().forEach(crashes::recordClearance);
    logQuarantineChanges();
  }

  /** Records that a request was answered completely, which clears the suspects in it. */
  public void recordAnswer(Collection<Suspect> suspects, long nowMillis) {
    crashes.recordAnswer(suspects, nowMillis);
    logQuarantineChanges();
  }

  private void logQuarantineChanges() {
    for (CrashSuspicions.Change change : crashes.drainChanges()) {
      if (change.begins()) {
        EventLog.log(
            LogEvent.QUARANTINE_STARTED, change.cause().description(), change.cause().crashes());
      } else {
        EventLog.log(LogEvent.QUARANTINE_ENDED, change.cause().description());
      }
    }
  }

  /** Returns the upstream with the key of its incarnation, empty if none is present. */
  public Optional<Upstream> upstream(int incarnationKey) {
    return Optional.ofNullable(byIncarnation.get(incarnationKey));
  }

  /** Returns all upstreams. */
  public Collection<Upstream> upstreams() {
    return Collections.unmodifiableCollection(upstreams.values());
  }

  /**
   * Returns all upstreams of the service, including those that are draining or in an evacuated
   * availability zone.
   */
  public List<Upstream> upstreamsOf(ServiceName service) {
    return List.copyOf(byService.getOrDefault(service, List.of()));
  }

  /** Returns the software versions that upstreams have had. */
  public ObservedVersions versions() {
    return versions;
  }

  /** Returns whether the upstream is present. */
  public boolean isKnown(UpstreamId id) {
    return upstreams.containsKey(id);
  }

  /** Returns the upstreams of the service that accept new requests. */
  public List<Upstream> availableUpstreams(ServiceName service) {
    return servingUpstreams(service).stream().filter(it -> !it.entry().draining()).toList();
  }

  /** Returns the upstreams of the service outside evacuated availability zones. */
  public List<Upstream> servingUpstreams(ServiceName service) {
    List<Upstream> serving = new ArrayList<>();
    for (Upstream upstream : byService.getOrDefault(service, List.of())) {
      if (!evacuatedZones.contains(upstream.entry().zone())) {
        serving.add(upstream);
      }
    }
    return serving;
  }
}
