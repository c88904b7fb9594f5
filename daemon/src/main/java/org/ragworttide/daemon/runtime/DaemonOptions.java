package org.ragworttide.daemon.runtime;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.util.Optional;
import org.ragworttide.daemon.DaemonHttp;
import org.ragworttide.daemon.caller.CallerSettings;
import org.ragworttide.daemon.relay.RelaySettings;
import org.ragworttide.daemon.tls.IdentityFiles;
import org.ragworttide.daemon.tls.PeerTls;
import org.ragworttide.daemon.tls.TlsSettings;
import org.ragworttide.daemon.upstream.UpstreamSettings;
import org.ragworttide.document.settings.DaemonSettings;

/** Converts the settings of a daemon to the settings of its components; stateless. */
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
                settings.upstream().connectMillis(), settings.upstream().maxConnections()),
        TlsSettings.of(
            settings
                .callers()
                .tls()
                .map(files -> new IdentityFiles(files.certificateFile(), files.keyFile())),
            settings.upstream().tls().map(DaemonSettings.ClientTls::caFile)));
  }

  static Optional<PeerTls> peerTls(DaemonSettings settings)
      throws IOException, GeneralSecurityException {
    Optional<DaemonSettings.MutualTls> files = settings.peers().tls();
    if (files.isEmpty()) {
      return Optional.empty();
    }
    IdentityFiles identity =
        new IdentityFiles(files.get().certificateFile(), files.get().keyFile());
    return Optional.of(PeerTls.load(identity, files.get().caFile(), TlsSettings.CHECK_PERIOD));
  }

  static String hostAndPort(DaemonSettings.Address address) {
    return address.host() + ":" + address.port();
  }
}
