package org.ragworttide.daemon.tls;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedTrustManager;

/**
 * Trust manager for certificates that an authority has issued; the certificate of the authority can
 * be reloaded.
 *
 * <p>Invariant: every check, including the check of the server's address, is that of the Java
 * platform. Safe for use by any thread.
 */
final class ReloadingTrustManager extends X509ExtendedTrustManager {
  private final Path authorityFile;
  private volatile X509ExtendedTrustManager delegate;

  ReloadingTrustManager(Path authorityFile) throws IOException, GeneralSecurityException {
    this.authorityFile = authorityFile;
    load();
  }

  /** Loads the file; on failure the previous certificate of the authority stays in use. */
  void load() throws IOException, GeneralSecurityException {
    KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
    store.load(null, null);
    for (X509Certificate certificate : PemFiles.certificates(authorityFile)) {
      store.setCertificateEntry("authority-" + store.size(), certificate);
    }
    TrustManagerFactory factory =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    factory.init(store);
    delegate = (X509ExtendedTrustManager) factory.getTrustManagers()[0];
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
      throws CertificateException {
    delegate.checkServerTrusted(chain, authType, engine);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String authType, Socket socket)
      throws CertificateException {
    delegate.checkServerTrusted(chain, authType, socket);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String authType)
      throws CertificateException {
    delegate.checkServerTrusted(chain, authType);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
      throws CertificateException {
    delegate.checkClientTrusted(chain, authType, engine);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String authType, Socket socket)
      throws CertificateException {
    delegate.checkClientTrusted(chain, authType, socket);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String authType)
      throws CertificateException {
    delegate.checkClientTrusted(chain, authType);
  }

  @Override
  public X509Certificate[] getAcceptedIssuers() {
    return delegate.getAcceptedIssuers();
  }
}
