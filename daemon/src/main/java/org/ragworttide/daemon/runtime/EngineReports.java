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
 * Passes the reported state of ordered engines to coordination, which compares orders with it and
 * sends no request to an engine that has not loaded the model.
 *
 * <p>Invariant: an engine that reports no state is assumed to have loaded its models. Confined to
 * the coordination thread.
 */
final class EngineReports {
  private final Coordinator coordinator;

  EngineReports(Coordinator coordinator) {
    this.coordinator = coordinator;
  }

  void record(ConfigurationDocument document, PublishedLoads.Report report, long measuredAtMillis) {
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
        .forEach(upstream -> updateMissingModels(document, upstream));
  }

  /** Compares the last reports with a configuration that is newly in force. */
  void apply(ConfigurationDocument document) {
    document.upstreams().forEach(upstream -> updateMissingModels(document, upstream));
  }

  private void updateMissingModels(ConfigurationDocument document, Upstream upstream) {
    UpstreamId id = new UpstreamId(upstream.id());
    Optional<EngineState> state = coordinator.orders().lastReportedState(id);
    coordinator
        .router()
        .facts()
        .updateMissingModels(
            id,
            state
                .map(EngineState::loaded)
                .map(OrderPolicies::names)
                .map(names -> UpstreamSpecs.missingModels(document, upstream, names))
                .orElse(Set.of()));
  }
}
