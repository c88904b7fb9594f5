package org.ragworttide.daemon.runtime;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.routing.LoadReport;
import org.ragworttide.coordination.versions.VersionHost;
import org.ragworttide.daemon.audit.AuditAction;
import org.ragworttide.daemon.audit.AuditTrail;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.daemon.platform.PlatformFeed;
import org.ragworttide.daemon.platform.PublishedLoads;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.DocumentReader;
import org.ragworttide.document.DocumentResult;
import org.ragworttide.document.Fault;

/**
 * Carries what the platform publishes into coordination, and documents in force into the daemon.
 *
 * <p>Invariant: only a document without a fault comes into force. Called by the platform's feed on
 * any thread, by coordination on its thread.
 */
final class PlatformFacts implements PlatformFeed.Listener, VersionHost {
  private final CoordinationLoop loop;
  private final ConfigurationHolder configuration;
  private final AuditTrail audit;
  private final UpstreamRuns runs = new UpstreamRuns();
  private Coordinator coordinator;
  private EngineReports engines;
  private PlatformFeed feed;
  private ConfigurationDocument accepted;
  private volatile boolean reader;
  private long clockOffsetMillis = Long.MAX_VALUE;

  PlatformFacts(CoordinationLoop loop, ConfigurationHolder configuration, AuditTrail audit) {
    this.loop = loop;
    this.configuration = configuration;
    this.audit = audit;
  }

  void connect(Coordinator coordinator, PlatformFeed feed) {
    this.coordinator = coordinator;
    this.engines = new EngineReports(coordinator);
    this.feed = feed;
  }

  UpstreamRuns runs() {
    return runs;
  }

  /** Returns whether this daemon is to watch the configuration; asked by the feed. */
  boolean isReader() {
    loop.execute(() -> reader = coordinator.versions().isReader());
    return reader;
  }

  @Override
  public void configuration(long version, byte[] body) {
    loop.execute(() -> coordinator.versionCommands().offer(version, body));
  }

  @Override
  public void configurationUnavailable() {
    loop.execute(() -> coordinator.versionCommands().platformUnavailable());
  }

  @Override
  public void vms(VmList list) {
    loop.execute(() -> coordinator.offer(list));
  }

  @Override
  public void load(PublishedLoads.Report report) {
    loop.execute(() -> takeLoad(report));
  }

  @Override
  public boolean accepts(long version, byte[] document) {
    return switch (DocumentReader.read(document)) {
      case DocumentResult.Accepted read -> accepts(version, read.document());
      case DocumentResult.Refused refused -> {
        refuse(version, refused.faults());
        yield false;
      }
    };
  }

  private boolean accepts(long version, ConfigurationDocument document) {
    if (document.version() != version) {
      return false;
    }
    ConfigurationDocument current = configuration.current();
    boolean sameConstants =
        current == null || Policies.constants(current).equals(Policies.constants(document));
    if (!sameConstants) {
      String message =
          "maxEntryVms, loadMultiple and claimRetentionSeconds change only with the name";
      refuse(version, List.of(new Fault("/fleet", message)));
      return false;
    }
    accepted = document;
    return true;
  }

  private void refuse(long version, List<Fault> faults) {
    EventLog.log(LogEvent.CONFIGURATION_REFUSED, version, faults);
    audit.record(
        AuditAction.CONFIGURATION_REFUSED,
        "platform",
        "fleet",
        Long.toString(version),
        faults.getFirst().toString());
  }

  @Override
  public void inForce(long version, byte[] document) {
    Optional<Long> before =
        Optional.ofNullable(configuration.current()).map(ConfigurationDocument::version);
    if (configuration.apply(accepted)) {
      EventLog.log(
          LogEvent.CONFIGURATION_APPLIED, version, before.map(String::valueOf).orElse("none"));
      engines.applied(configuration.current());
    }
  }

  @Override
  public void readPlatform() {
    feed.readConfiguration();
  }

  private void takeLoad(PublishedLoads.Report report) {
    // The least difference seen between the two clocks belongs to the freshest report.
    clockOffsetMillis = Math.min(clockOffsetMillis, loop.nowMillis() - report.atMillis());
    long measuredAtMillis = report.atMillis() + clockOffsetMillis;
    runs.reported(report.upstream(), report.incarnation());
    coordinator.load(
        new LoadReport(
            report.upstream(),
            report.incarnation(),
            measuredAtMillis,
            report.running(),
            report.waiting()));
    engines.reported(configuration.current(), report, measuredAtMillis);
  }
}
