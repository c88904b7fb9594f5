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
 * Passes published platform documents to coordination, and puts the configurations that
 * coordination selects in force in the daemon.
 *
 * <p>Invariant: only a document without faults comes into force. The platform feed calls it on any
 * thread, coordination on the coordination thread.
 */
final class PlatformBridge implements PlatformFeed.Listener, VersionHost {
  private final CoordinationLoop loop;
  private final ConfigurationHolder configuration;
  private final AuditTrail audit;
  private final UpstreamIncarnations incarnations = new UpstreamIncarnations();
  private Coordinator coordinator;
  private EngineReports engines;
  private PlatformFeed feed;
  private ConfigurationDocument accepted;
  private volatile boolean reader;
  private long clockOffsetMillis = Long.MAX_VALUE;

  PlatformBridge(CoordinationLoop loop, ConfigurationHolder configuration, AuditTrail audit) {
    this.loop = loop;
    this.configuration = configuration;
    this.audit = audit;
  }

  void connect(Coordinator coordinator, PlatformFeed feed) {
    this.coordinator = coordinator;
    this.engines = new EngineReports(coordinator);
    this.feed = feed;
  }

  UpstreamIncarnations incarnations() {
    return incarnations;
  }

  /**
   * Returns whether this daemon watches the configuration; the value is refreshed after each call.
   */
  boolean isReader() {
    loop.execute(() -> reader = coordinator.versions().isReader());
    return reader;
  }

  @Override
  public void onConfiguration(long version, byte[] body) {
    loop.execute(() -> coordinator.versionCommands().offer(version, body));
  }

  @Override
  public void onConfigurationUnavailable() {
    loop.execute(() -> coordinator.versionCommands().platformUnavailable());
  }

  @Override
  public void onVmList(VmList list) {
    loop.execute(() -> coordinator.offer(list));
  }

  @Override
  public void onLoad(PublishedLoads.Report report) {
    loop.execute(() -> recordLoad(report));
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
  public void putInForce(long version, byte[] document) {
    Optional<Long> before =
        Optional.ofNullable(configuration.current()).map(ConfigurationDocument::version);
    if (configuration.apply(accepted)) {
      EventLog.log(
          LogEvent.CONFIGURATION_APPLIED, version, before.map(String::valueOf).orElse("none"));
      engines.apply(configuration.current());
    }
  }

  @Override
  public void readPlatform() {
    feed.readConfiguration();
  }

  private void recordLoad(PublishedLoads.Report report) {
    // The smallest observed difference between the two clocks belongs to the report with the least
    // delay.
    clockOffsetMillis = Math.min(clockOffsetMillis, loop.nowMillis() - report.atMillis());
    long measuredAtMillis = report.atMillis() + clockOffsetMillis;
    incarnations.record(report.upstream(), report.incarnation());
    coordinator.recordLoad(
        new LoadReport(
            report.upstream(),
            report.incarnation(),
            measuredAtMillis,
            report.running(),
            report.waiting()));
    engines.record(configuration.current(), report, measuredAtMillis);
  }
}
