package org.ragworttide.daemon.tls;

import java.io.IOException;
import java.net.Socket;
import java.security.GeneralSecurityException;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedKeyManager;

/**
 * Key manager whose certificate and key can be reloaded from their files.
 *
 * <p>Invariant: a handshake uses a certificate and key of the same load, even if the files are
 * reloaded during it. Safe for use by any thread.
 */
final class ReloadingKeyManager extends X509ExtendedKeyManager {
  private final IdentityFiles files;
  private volatile Identity current;
  private volatile Identity previous;

  ReloadingKeyManager(IdentityFiles files) throws IOException, GeneralSecurityException {
    this.files = files;
    load();
  }

  /** Loads the files; on failure the previous certificate and key stay in use. */
  void load() throws IOException, GeneralSecurityException {
    List<X509Certificate> chain = PemFiles.certificates(files.certificateFile());
    PrivateKey key = PemFiles.privateKey(files.keyFile());
    KeyPairs.requireMatch(key, chain.getFirst().getPublicKey());
    previous = current;
    current = new Identity(UUID.randomUUID().toString(), chain, key);
  }

  @Override
  public String chooseEngineServerAlias(String keyType, Principal[] issuers, SSLEngine engine) {
    return chooseServerAlias(keyType, issuers, null);
  }

  @Override
  public String chooseServerAlias(String keyType, Principal[] issuers, Socket socket) {
    Identity identity = current;
    return identity.key().getAlgorithm().equals(keyType) ? identity.alias() : null;
  }

  @Override
  public String[] getServerAliases(String keyType, Principal[] issuers) {
    return new String[] {current.alias()};
  }

  @Override
  public X509Certificate[] getCertificateChain(String alias) {
    return identity(alias).chain().toArray(X509Certificate[]::new);
  }

  @Override
  public PrivateKey getPrivateKey(String alias) {
    return identity(alias).key();
  }

  @Override
  public String[] getClientAliases(String keyType, Principal[] issuers) {
    return new String[] {current.alias()};
  }

  @Override
  public String chooseClientAlias(String[] keyTypes, Principal[] issuers, Socket socket) {
    Identity identity = current;
    boolean supported = Arrays.asList(keyTypes).contains(identity.key().getAlgorithm());
    return supported ? identity.alias() : null;
  }

  @Override
  public String chooseEngineClientAlias(String[] keyTypes, Principal[] issuers, SSLEngine engine) {
    return chooseClientAlias(keyTypes, issuers, null);
  }

  private Identity identity(String alias) {
    Identity newest = current;
    return newest.alias().equals(alias) || previous == null ? newest : previous;
  }

  private record Identity(String alias, List<X509Certificate> chain, PrivateKey key) {}
}
