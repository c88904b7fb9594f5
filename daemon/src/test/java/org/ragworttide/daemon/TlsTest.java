package org.ragworttide.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.handler.ssl.SslHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.Optional;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.ragworttide.daemon.tls.IdentityFiles;
import org.ragworttide.daemon.tls.Tls;
import org.ragworttide.daemon.tls.TlsSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

/** Tests TLS with callers and upstreams, and the reload of changed files. */
public final class TlsTest {
  private static final Duration CHECK_PERIOD = Duration.ofMillis(20);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private Path directory;
  private IdentityFiles identity;

  /** Installs the first certificate. */
  @BeforeMethod
  public void prepare() throws IOException {
    directory = Files.createTempDirectory("tls");
    identity = new IdentityFiles(directory.resolve("own.pem"), directory.resolve("own.key"));
    install("first");
  }

  /** Removes the files. */
  @AfterMethod
  public void remove() throws IOException {
    Files.deleteIfExists(identity.certificateFile());
    Files.deleteIfExists(identity.keyFile());
    Files.delete(directory);
  }

  @Test
  public void callersAreServedWithTheCertificateInForce() throws Exception {
    TlsSettings tls = new TlsSettings(Optional.of(identity), Optional.empty(), CHECK_PERIOD);
    try (PathFixture path = PathFixture.start(with(tls), exchange -> exchange.json("{}"))) {
      assertEquals(servedName(path), "CN=first");
      install("second");
      awaitName(path, "CN=second");
    }
  }

  @Test
  public void unusableFilesLeaveTheLastValidOnesInForce() throws Exception {
    TlsSettings tls = new TlsSettings(Optional.of(identity), Optional.empty(), CHECK_PERIOD);
    try (PathFixture path = PathFixture.start(with(tls), exchange -> exchange.json("{}"))) {
      Files.copy(resource("second.key"), identity.keyFile(), StandardCopyOption.REPLACE_EXISTING);
      Thread.sleep(10 * CHECK_PERIOD.toMillis());
      assertEquals(servedName(path), "CN=first");
      Files.writeString(identity.certificateFile(), "nothing");
      Thread.sleep(10 * CHECK_PERIOD.toMillis());
      assertEquals(servedName(path), "CN=first");
      install("second");
      awaitName(path, "CN=second");
    }
  }

  @Test
  public void unusableFilesAtStartupAreRefused() throws IOException {
    Files.writeString(identity.keyFile(), "nothing");
    TlsSettings tls = new TlsSettings(Optional.of(identity), Optional.empty(), CHECK_PERIOD);
    assertThrows(RuntimeException.class, () -> PathFixture.start(with(tls)));
  }

  @Test
  public void upstreamOfTheAuthorityIsTrustedAndAnotherIsNot() throws Exception {
    Tls server = Tls.server(identity, TIMEOUT);
    DisposableServer upstream =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .secure(spec -> spec.sslContext(server.context()))
            .handle((request, response) -> response.sendString(Mono.just("secret")))
            .bindNow();
    try {
      assertEquals(throughPath("ca.pem", upstream.port()), 200);
      assertEquals(throughPath("other-ca.pem", upstream.port()), 503);
    } finally {
      upstream.disposeNow();
      server.dispose();
    }
  }

  private static int throughPath(String authority, int upstreamPort) throws IOException {
    TlsSettings tls = new TlsSettings(Optional.empty(), Optional.of(resource(authority)), TIMEOUT);
    try (PathFixture path = PathFixture.start(with(tls), exchange -> exchange.json("{}"))) {
      path.replaceUpstreams("127.0.0.1:" + upstreamPort);
      return path.send(path.request("/hours")).statusCode();
    }
  }

  private static DaemonHttp.Settings with(TlsSettings tls) {
    DaemonHttp.Settings defaults = PathFixture.defaults();
    return new DaemonHttp.Settings(defaults.caller(), defaults.relay(), defaults.upstream(), tls);
  }

  private void install(String name) throws IOException {
    Files.copy(
        resource(name + ".pem"), identity.certificateFile(), StandardCopyOption.REPLACE_EXISTING);
    Files.copy(resource(name + ".key"), identity.keyFile(), StandardCopyOption.REPLACE_EXISTING);
  }

  private static Path resource(String name) {
    return Path.of(System.getProperty("project.root"), "daemon/src/test/resources/tls", name);
  }

  private static void awaitName(PathFixture path, String name) throws Exception {
    String served = servedName(path);
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!served.equals(name) && System.nanoTime() < deadlineNanos) {
      Thread.sleep(CHECK_PERIOD.toMillis());
      served = servedName(path);
    }
    assertEquals(served, name);
  }

  /**
   * Sends a request over TLS with the test authority as trust anchor, and returns the subject of
   * the served certificate.
   */
  private static String servedName(PathFixture path) throws Exception {
    Tls client = Tls.client(resource("ca.pem"), TIMEOUT);
    try {
      return HttpClient.newConnection()
          .secure(spec -> spec.sslContext(client.context()))
          .get()
          .uri("https://127.0.0.1:" + path.http.callerAddress().getPort() + "/hours")
          .responseConnection((response, connection) -> Mono.just(subject(connection)))
          .blockFirst(TIMEOUT);
    } finally {
      client.dispose();
    }
  }

  private static String subject(Connection connection) {
    try {
      X509Certificate certificate =
          (X509Certificate)
              connection
                  .channel()
                  .pipeline()
                  .get(SslHandler.class)
                  .engine()
                  .getSession()
                  .getPeerCertificates()[0];
      return certificate.getSubjectX500Principal().getName();
    } catch (SSLPeerUnverifiedException e) {
      throw new IllegalStateException(e);
    }
  }
}
