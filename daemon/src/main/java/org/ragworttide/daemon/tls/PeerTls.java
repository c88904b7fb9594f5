package org.ragworttide.daemon.tls;

import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.time.Duration;
import reactor.core.Disposable;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Mutual TLS between daemons: one authority must have issued the certificates of both ends.
 *
 * <p>Safe for use by any thread.
 */
public final class PeerTls implements Disposable {
  private final Tls server;
  private final Tls client;

  private PeerTls(Tls server, Tls client) {
    this.server = server;
    this.client = client;
  }

  /**
   * Loads the files.
   *
   * @param identity the daemon's certificate and key
   * @param authorityFile the certificate of the authority
   * @param period period of the checks for changed files
   * @throws IOException if a file can't be read
   * @throws GeneralSecurityException if the content of a file is invalid
   */
  public static PeerTls load(IdentityFiles identity, Path authorityFile, Duration period)
      throws IOException, GeneralSecurityException {
    return new PeerTls(
        Tls.mutualServer(identity, authorityFile, period),
        Tls.mutualClient(identity, authorityFile, period));
  }

  /** Returns the server with TLS. */
  public TcpServer secure(TcpServer plain) {
    return plain.secure(spec -> spec.sslContext(server.context()));
  }

  /** Returns the client with TLS. */
  public TcpClient secure(TcpClient plain) {
    return plain.secure(spec -> spec.sslContext(client.context()));
  }

  @Override
  public void dispose() {
    server.dispose();
    client.dispose();
  }
}
