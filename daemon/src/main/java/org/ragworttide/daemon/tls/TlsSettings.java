package org.ragworttide.daemon.tls;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * TLS settings of the caller and upstream sides of the HTTP path.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param callers the listener's certificate and key, empty for plain connections
 * @param upstreamAuthority certificate of the authority that must have issued the upstream
 *     certificates, empty for plain connections
 * @param checkPeriod period of the checks for changed files
 */
public record TlsSettings(
    Optional<IdentityFiles> callers, Optional<Path> upstreamAuthority, Duration checkPeriod) {
  /** The default period of the checks for changed files. */
  public static final Duration CHECK_PERIOD = Duration.ofSeconds(5);

  /** Returns settings without TLS. */
  public static TlsSettings plain() {
    return of(Optional.empty(), Optional.empty());
  }

  /** Returns settings with the default period. */
  public static TlsSettings of(Optional<IdentityFiles> callers, Optional<Path> upstreamAuthority) {
    return new TlsSettings(callers, upstreamAuthority, CHECK_PERIOD);
  }
}
