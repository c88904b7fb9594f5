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
 * Trusts servers that an authority has certified, whose certificate can be read again.
 *
 * <p>Invariant: every check, the one of the server's address included, is the platform's own. Safe
 * for use by any thread.
 */
final class ReloadingTrust extends X509ExtendedTrustManager {
  private final Path authorityFile;
  private volatile X509ExtendedTrustManager delegate;

  ReloadingTrust(Path authorityFile) throws IOException, GeneralSecurityException {
    this.authorityFile = authorityFile;
    load();
  }

  /** Reads the file; what was read before stays if it can't be used. */
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
