package org.ragworttide.daemon.platform;

import java.util.function.BooleanSupplier;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * Watches the documents that the platform publishes and passes the usable ones to a listener.
 *
 * <p>Invariant: an unusable document changes nothing and is logged. Safe for use by any thread.
 */
public final class PlatformFeed implements Disposable {
  private static final String CONFIGURATION = "configuration";
  private static final String VMS = "vms";
  private static final String LOADS = "loads";

  private final PlatformClient client;
  private final Listener listener;
  private final Disposable.Composite watches = Disposables.composite();

  /** Creates a feed, inactive until {@link #start}. */
  public PlatformFeed(PlatformClient client, Listener listener) {
    this.client = client;
    this.listener = listener;
  }

  /**
   * Starts all watches; the watch of the configuration is active only while this daemon is a
   * reader.
   */
  public void start(BooleanSupplier isReader) {
    watches.add(new DocumentWatch(client, CONFIGURATION, isReader, this::configuration).start());
    watches.add(new DocumentWatch(client, VMS, () -> true, this::vms).start());
    watches.add(new DocumentWatch(client, LOADS, () -> true, this::loads).start());
  }

  /** Reads the configuration once. */
  public void readConfiguration() {
    client.read(CONFIGURATION).subscribe(this::configuration);
  }

  @Override
  public void dispose() {
    watches.dispose();
  }

  private void configuration(PlatformReply reply) {
    switch (reply) {
      case PlatformReply.Published published ->
          listener.onConfiguration(published.version(), published.body());
      case PlatformReply.Unavailable unavailable -> {
        unavailable(CONFIGURATION, unavailable);
        listener.onConfigurationUnavailable();
      }
      case PlatformReply.Unchanged unchanged -> {}
    }
  }

  private void vms(PlatformReply reply) {
    switch (reply) {
      case PlatformReply.Published published -> vms(published.body());
      case PlatformReply.Unavailable unavailable -> unavailable(VMS, unavailable);
      case PlatformReply.Unchanged unchanged -> {}
    }
  }

  private void vms(byte[] body) {
    switch (PublishedVms.read(body)) {
      case PublishedVms.Usable usable -> {
        usable.previous().ifPresent(listener::onVmList);
        listener.onVmList(usable.list());
      }
      case PublishedVms.Unusable unusable ->
          EventLog.log(LogEvent.DOCUMENT_UNUSABLE, VMS, unusable.reason());
    }
  }

  private void loads(PlatformReply reply) {
    if (reply instanceof PlatformReply.Published published) {
      switch (PublishedLoads.read(published.body())) {
        case PublishedLoads.Usable usable -> usable.reports().forEach(listener::onLoad);
        case PublishedLoads.Unusable unusable ->
            EventLog.log(LogEvent.DOCUMENT_UNUSABLE, LOADS, unusable.reason());
      }
    }
  }

  private static void unavailable(String document, PlatformReply.Unavailable reply) {
    EventLog.log(LogEvent.PLATFORM_UNAVAILABLE, document, reply.reason());
  }

  /** Listener for published documents; called on threads of the client. */
  public interface Listener {

    /** Handles a version of the configuration, not yet parsed. */
    void onConfiguration(long version, byte[] body);

    /** Handles a failure to read the configuration. */
    void onConfigurationUnavailable();

    /** Handles a list of entry VMs. */
    void onVmList(VmList list);

    /** Handles the load report of one engine. */
    void onLoad(PublishedLoads.Report report);
  }
}
