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
    CallerSettings callers = CallerSettings.defaults(address.host(), address.port());
    return new DaemonHttp.Settings(callers, RelaySettings.defaults(), UpstreamSettings.defaults());
  }

  static String text(DaemonSettings.Address address) {
    return address.host() + ":" + address.port();
  }
}
