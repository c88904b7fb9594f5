package org.ragworttide.daemon.tls;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * Which sides of the HTTP path speak TLS.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param callers the listener's certificate and key, empty for plain
 * @param upstreamAuthority who must have certified upstreams, empty for plain
 * @param checkPeriod how often the files are looked at again
 */
public record TlsSettings(
    Optional<IdentityFiles> callers, Optional<Path> upstreamAuthority, Duration checkPeriod) {
  /** How often files are looked at again, if nothing else is said. */
  public static final Duration CHECK_PERIOD = Duration.ofSeconds(5);

  /** Returns settings without TLS. */
  public static TlsSettings plain() {
    return of(Optional.empty(), Optional.empty());
  }

  /** Returns settings with the usual period. */
  public static TlsSettings of(Optional<IdentityFiles> callers, Optional<Path> upstreamAuthority) {
    return new TlsSettings(callers, upstreamAuthority, CHECK_PERIOD);
  }
}
