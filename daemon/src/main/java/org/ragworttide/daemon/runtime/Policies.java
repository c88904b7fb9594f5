package org.ragworttide.daemon.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragworttide.coordination.FleetConstants;
import org.ragworttide.coordination.FleetPolicy;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.routing.ZoneState;
import org.ragworttide.daemon.relay.RelaySettings;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Organisation;
import org.ragworttide.document.ConfigurationDocument.Route;
import org.ragworttide.document.ConfigurationDocument.Service;
import org.ragworttide.document.ConfigurationDocument.Upstream;
import org.ragworttide.document.ConfigurationDocument.UpstreamKind;
import org.ragworttide.document.ConfigurationDocument.Zone;

/** Converts a configuration document to the constants and policies of coordination; stateless. */
final class Policies {

  private Policies() {}

  static FleetConstants constants(ConfigurationDocument document) {
    long retentionSeconds = document.fleet().claimRetentionSeconds();
    return new FleetConstants(
        document.fleet().maxEntryVms(),
        TimeUnit.SECONDS.toMillis(retentionSeconds),
        document.fleet().loadMultiple());
  }

  static FleetPolicy policy(ConfigurationDocument document) {
    return new FleetPolicy(
        rates(document),
        coldLimits(document),
        longestRunsMillis(document),
        UpstreamSpecs.of(document),
        zones(document),
        OrderPolicies.of(document));
  }

  private static Map<OrganisationId, RateLimit> rates(ConfigurationDocument document) {
    Map<OrganisationId, RateLimit> rates = new HashMap<>();
    for (Organisation organisation : document.organisations()) {
      rates.put(
          new OrganisationId(organisation.id()),
          new RateLimit(organisation.ratePerSecond(), organisation.burst()));
    }
    return rates;
  }

  private static Map<UpstreamId, Integer> coldLimits(ConfigurationDocument document) {
    Map<UpstreamId, Integer> limits = new HashMap<>();
    for (Upstream upstream : document.upstreams()) {
      limits.put(new UpstreamId(upstream.id()), upstream.coldConcurrency());
    }
    return limits;
  }

  /**
   * Returns the longest run of each plain service. Such a service publishes no load, so that the
   * number of its running requests is known only from their ends.
   */
  private static Map<UpstreamId, Long> longestRunsMillis(ConfigurationDocument document) {
    Map<UpstreamId, Long> runs = new HashMap<>();
    for (Upstream upstream : document.upstreams()) {
      if (upstream.kind() == UpstreamKind.SERVICE) {
        runs.put(new UpstreamId(upstream.id()), longestRunMillis(document, upstream.id()));
      }
    }
    return runs;
  }

  private static long longestRunMillis(ConfigurationDocument document, String upstream) {
    long windowMillis =
        document.routes().stream()
            .filter(route -> route.upstreams().contains(upstream))
            .mapToLong(Route::windowMillis)
            .max()
            .orElse(0);
    return windowMillis + RelaySettings.defaults().lateAnswerMillis();
  }

  private static Map<ZoneId, ZoneState> zones(ConfigurationDocument document) {
    Map<ZoneId, ZoneState> states = new HashMap<>();
    for (Zone zone : document.zones()) {
      states.put(
          new ZoneId(zone.id()), zone.service() == Service.IN ? ZoneState.IN : ZoneState.OUT);
    }
    return states;
  }
}
