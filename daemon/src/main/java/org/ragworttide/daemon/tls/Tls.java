package org.ragworttide.daemon.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.List;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

/**
 * TLS context of a listener or a client, whose files are checked for changes periodically.
 *
 * <p>Invariant: changed files apply to new connections only. Safe for use by any thread.
 */
public final class Tls implements Disposable {
  private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

  private final SslContext context;
  private final Disposable watch;

  private Tls(SslContext context, TlsReloader reloader, Duration period) {
    this.context = context;
    this.watch =
        Flux.interval(period, Schedulers.boundedElastic())
            .onBackpressureDrop()
            .subscribe(unused -> reloader.check());
  }

  /**
   * Returns the TLS context of a listener.
   *
   * @param files certificate and key of the listener
   * @param period period of the checks for changed files
   * @throws IOException if a file can't be read
   * @throws GeneralSecurityException if the content of a file is invalid
   */
  public static Tls server(IdentityFiles files, Duration period)
      throws IOException, GeneralSecurityException {
    ReloadingKeyManager identity = new ReloadingKeyManager(files);
    SslContext context = SslContextBuilder.forServer(identity).protocols(PROTOCOLS).build();
    TlsReloader reloader =
        new TlsReloader(List.of(files.certificateFile(), files.keyFile()), identity::load);
    return new Tls(context, reloader, period);
  }

  /**
   * Returns the TLS context of a client.
   *
   * @param authorityFile the certificate of the authority that must have issued the server
   *     certificates
   * @param period period of the checks for a changed file
   * @throws IOException if the file can't be read
   * @throws GeneralSecurityException if the content of the file is invalid
   */
  public static Tls client(Path authorityFile, Duration period)
      throws IOException, GeneralSecurityException {
    ReloadingTrustManager trust = new ReloadingTrustManager(authorityFile);
    SslContext context =
        SslContextBuilder.forClient().trustManager(trust).protocols(PROTOCOLS).build();
    return new Tls(context, new TlsReloader(List.of(authorityFile), trust::load), period);
  }

  static Tls mutualServer(IdentityFiles files, Path authorityFile, Duration period)
      throws IOException, GeneralSecurityException {
    ReloadingKeyManager identity = new ReloadingKeyManager(files);
    ReloadingTrustManager trust = new ReloadingTrustManager(authorityFile);
    SslContext context =
        SslContextBuilder.forServer(identity)
            .trustManager(trust)
            .clientAuth(ClientAuth.REQUIRE)
            .protocols(PROTOCOLS)
            .build();
    return new Tls(context, mutualReloader(files, authorityFile, identity, trust), period);
  }

  static Tls mutualClient(IdentityFiles files, Path authorityFile, Duration period)
      throws IOException, GeneralSecurityException {
    ReloadingKeyManager identity = new ReloadingKeyManager(files);
    ReloadingTrustManager trust = new ReloadingTrustManager(authorityFile);
    SslContext context =
        SslContextBuilder.forClient()
            .keyManager(identity)
            .trustManager(trust)
            .protocols(PROTOCOLS)
            .build();
    return new Tls(context, mutualReloader(files, authorityFile, identity, trust), period);
  }

  private static TlsReloader mutualReloader(
      IdentityFiles files,
      Path authorityFile,
      ReloadingKeyManager identity,
      ReloadingTrustManager trust) {
    return new TlsReloader(
        List.of(files.certificateFile(), files.keyFile(), authorityFile),
        () -> {
          identity.load();
          trust.load();
        });
  }

  /** Returns the context for connections. */
  public SslContext context() {
    return context;
  }

  @Override
  public void dispose() {
    watch.dispose();
  }
}
