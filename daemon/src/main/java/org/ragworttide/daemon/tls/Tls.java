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
 * TLS of a listener or a client, whose files are looked at again at intervals.
 *
 * <p>Invariant: a change of the files counts for new connections only. Safe for use by any thread.
 */
public final class Tls implements Disposable {
  private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

  private final SslContext context;
  private final Disposable watch;

  private Tls(SslContext context, TlsReload reload, Duration period) {
    this.context = context;
    this.watch =
        Flux.interval(period, Schedulers.boundedElastic())
            .onBackpressureDrop()
            .subscribe(unused -> reload.check());
  }

  /**
   * Returns the TLS of a listener.
   *
   * @param files its certificate and key
   * @param period how often the files are looked at
   * @throws IOException if a file can't be read
   * @throws GeneralSecurityException if a file's content can't be used
   */
  public static Tls server(IdentityFiles files, Duration period)
      throws IOException, GeneralSecurityException {
    ReloadingIdentity identity = new ReloadingIdentity(files);
    SslContext context = SslContextBuilder.forServer(identity).protocols(PROTOCOLS).build();
    TlsReload reload =
        new TlsReload(List.of(files.certificateFile(), files.keyFile()), identity::load);
    return new Tls(context, reload, period);
  }

  /**
   * Returns the TLS of a client.
   *
   * @param authorityFile the certificate of the authority that servers must be certified by
   * @param period how often the file is looked at
   * @throws IOException if the file can't be read
   * @throws GeneralSecurityException if the file's content can't be used
   */
  public static Tls client(Path authorityFile, Duration period)
      throws IOException, GeneralSecurityException {
    ReloadingTrust trust = new ReloadingTrust(authorityFile);
    SslContext context =
        SslContextBuilder.forClient().trustManager(trust).protocols(PROTOCOLS).build();
    return new Tls(context, new TlsReload(List.of(authorityFile), trust::load), period);
  }

  static Tls mutualServer(IdentityFiles files, Path authorityFile, Duration period)
      throws IOException, GeneralSecurityException {
    ReloadingIdentity identity = new ReloadingIdentity(files);
    ReloadingTrust trust = new ReloadingTrust(authorityFile);
    SslContext context =
        SslContextBuilder.forServer(identity)
            .trustManager(trust)
            .clientAuth(ClientAuth.REQUIRE)
            .protocols(PROTOCOLS)
            .build();
    return new Tls(context, mutualReload(files, authorityFile, identity, trust), period);
  }

  static Tls mutualClient(IdentityFiles files, Path authorityFile, Duration period)
      throws IOException, GeneralSecurityException {
    ReloadingIdentity identity = new ReloadingIdentity(files);
    ReloadingTrust trust = new ReloadingTrust(authorityFile);
    SslContext context =
        SslContextBuilder.forClient()
            .keyManager(identity)
            .trustManager(trust)
            .protocols(PROTOCOLS)
            .build();
    return new Tls(context, mutualReload(files, authorityFile, identity, trust), period);
  }

  private static TlsReload mutualReload(
      IdentityFiles files, Path authorityFile, ReloadingIdentity identity, ReloadingTrust trust) {
    return new TlsReload(
        List.of(files.certificateFile(), files.keyFile(), authorityFile),
        () -> {
          identity.load();
          trust.load();
        });
  }

  /** Returns the context that connections are made with. */
  public SslContext context() {
    return context;
  }

  @Override
  public void dispose() {
    watch.dispose();
  }
}
