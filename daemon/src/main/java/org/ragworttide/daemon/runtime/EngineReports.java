package org.ragworttide.daemon.runtime;

import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.orders.EngineReport;
import org.ragworttide.coordination.orders.EngineState;
import org.ragworttide.daemon.platform.PublishedLoads;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Upstream;

/**
 * Carries what ordered engines say of themselves into coordination, so that orders are compared
 * with it and no request goes to an engine that lacks its model.
 *
 * <p>Invariant: an engine that does not tell is taken to have its models. Confined to the
 * coordination thread.
 */
final class EngineReports {
  private final Coordinator coordinator;

  EngineReports(Coordinator coordinator) {
    this.coordinator = coordinator;
  }

  void reported(
      ConfigurationDocument document, PublishedLoads.Report report, long measuredAtMillis) {
    if (document == null || !coordinator.isConfigured()) {
      return;
    }
    coordinator
        .orders()
        .report(
            new EngineReport(
                report.upstream(), report.incarnation(), measuredAtMillis, report.state()));
    document.upstreams().stream()
        .filter(upstream -> upstream.id().equals(report.upstream().value()))
        .forEach(upstream -> note(document, upstream));
  }

  /** Compares the last reports with a configuration that has come into force. */
  void applied(ConfigurationDocument document) {
    document.upstreams().forEach(upstream -> note(document, upstream));
  }

  private void note(ConfigurationDocument document, Upstream upstream) {
    UpstreamId id = new UpstreamId(upstream.id());
    Optional<EngineState> state = coordinator.orders().reported(id);
    coordinator
        .router()
        .facts()
        .lacking(
            id,
            state
                .map(EngineState::loaded)
                .map(OrderPolicies::names)
                .map(names -> UpstreamSpecs.lacking(document, upstream, names))
                .orElse(Set.of()));
  }
}
