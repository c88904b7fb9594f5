package org.ragworttide.daemon.runtime;

import org.ragworttide.daemon.DaemonHttp;
import org.ragworttide.daemon.caller.CallerSettings;
import org.ragworttide.daemon.relay.RelaySettings;
import org.ragworttide.daemon.upstream.UpstreamSettings;
import org.ragworttide.document.settings.DaemonSettings;

/** Translates a daemon's settings for its parts; stateless. */
final class DaemonOptions {

  private DaemonOptions() {}

  static DaemonHttp.Settings http(DaemonSettings settings) {
    DaemonSettings.Address address = settings.callers().address();
    return new DaemonHttp.Settings(
        CallerSettings.defaults(address.host(), address.port())
            .withLimits(
                settings.limits().maxHeaderBytes(),
                settings.limits().maxBodyBytes(),
                settings.limits().idleMillis()),
        RelaySettings.defaults().withStallMillis(settings.limits().streamStallMillis()),
        UpstreamSettings.defaults()
            .withConnections(
                settings.upstream().connectMillis(), settings.upstream().maxConnections()));
  }

  static String text(DaemonSettings.Address address) {
    return address.host() + ":" + address.port();
  }
}
