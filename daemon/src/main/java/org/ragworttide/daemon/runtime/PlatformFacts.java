package org.ragworttide.daemon.runtime;

import java.util.Optional;
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
  private ControlPlane plane;
  private PlatformFeed feed;
  private ConfigurationDocument accepted;
  private volatile boolean reader;
  private long clockOffsetMillis = Long.MAX_VALUE;

  PlatformFacts(CoordinationLoop loop, ConfigurationHolder configuration, AuditTrail audit) {
    this.loop = loop;
    this.configuration = configuration;
    this.audit = audit;
  }

  void connect(ControlPlane plane, PlatformFeed feed) {
    this.plane = plane;
    this.feed = feed;
  }

  UpstreamRuns runs() {
    return runs;
  }

  /** Returns whether this daemon is to watch the configuration; asked by the feed. */
  boolean isReader() {
    loop.execute(() -> reader = plane.versions().isReader());
    return reader;
  }

  @Override
  public void configuration(long version, byte[] body) {
    loop.execute(() -> plane.offer(version, body));
  }

  @Override
  public void configurationUnavailable() {
    loop.execute(() -> plane.versions().platformUnavailable());
  }

  @Override
  public void vms(VmList list) {
    loop.execute(() -> plane.offer(list));
  }

  @Override
  public void load(PublishedLoads.Report report) {
    loop.execute(() -> takeLoad(report));
  }

  @Override
  public boolean accepts(long version, byte[] document) {
    return switch (DocumentReader.read(document)) {
      case DocumentResult.Accepted read -> {
        accepted = read.document();
        yield accepted.version() == version;
      }
      case DocumentResult.Refused refused -> {
        EventLog.log(LogEvent.CONFIGURATION_REFUSED, version, refused.faults());
        audit.record(
            AuditAction.CONFIGURATION_REFUSED,
            "platform",
            "fleet",
            Long.toString(version),
            refused.faults().getFirst().toString());
        yield false;
      }
    };
  }

  @Override
  public void inForce(long version, byte[] document) {
    Optional<Long> before =
        Optional.ofNullable(configuration.current()).map(ConfigurationDocument::version);
    if (configuration.apply(accepted)) {
      EventLog.log(
          LogEvent.CONFIGURATION_APPLIED, version, before.map(String::valueOf).orElse("none"));
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
    plane.load(
        new LoadReport(
            report.upstream(),
            report.incarnation(),
            measuredAtMillis,
            report.running(),
            report.waiting()));
  }
}
