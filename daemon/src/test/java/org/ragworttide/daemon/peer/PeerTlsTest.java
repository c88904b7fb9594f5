package org.ragworttide.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import com.codahale.metrics.MetricRegistry;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.daemon.tls.IdentityFiles;
import org.ragworttide.daemon.tls.PeerTls;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that a peer with TLS accepts messages only from peers whose certificates the authority
 * issued.
 */
public final class PeerTlsTest {
  private static final String HOST = "127.0.0.1";
  private static final Duration PERIOD = Duration.ofMinutes(1);
  private static final long TIMEOUT_SECONDS = 10;
  private static final long SILENCE_SECONDS = 1;
  private static final PeerMessage MESSAGE = new MembershipMessage.ListRequest(7, 0, 0);

  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private PeerNetwork receiver;

  /** Starts a receiver whose authority issued the certificates "first" and "second". */
  @BeforeMethod
  public void listen() throws Exception {
    received.clear();
    receiver = network("vm-1", tls("first", "ca"));
    receiver.bind(HOST, 0).block();
  }

  /** Stops the receiver. */
  @AfterMethod
  public void close() {
    receiver.close();
  }

  @Test
  public void messageOfCertifiedPeerIsReceived() throws Exception {
    send(tls("second", "ca"));
    assertEquals(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), MESSAGE);
  }

  @Test
  public void messageOfPeerWithoutTlsIsNotReceived() throws Exception {
    send(Optional.empty());
    assertNull(received.poll(SILENCE_SECONDS, TimeUnit.SECONDS));
  }

  @Test
  public void peerThatTrustsAnotherAuthoritySendsNoMessage() throws Exception {
    send(tls("second", "other-ca"));
    assertNull(received.poll(SILENCE_SECONDS, TimeUnit.SECONDS));
  }

  @Test
  public void messageOfPeerWithCertificateOfAnotherAuthorityIsNotReceived() throws Exception {
    send(tls("foreign", "ca"));
    assertNull(received.poll(SILENCE_SECONDS, TimeUnit.SECONDS));
  }

  private void send(Optional<PeerTls> tls) {
    PeerNetwork sender = network("vm-2", tls);
    sender.send(new VmId("vm-1"), MESSAGE);
  }

  private PeerNetwork network(String vm, Optional<PeerTls> tls) {
    return new PeerNetwork(
        new PeerIdentity("fleet", new VmId(vm), new Incarnation(1)),
        (from, run, message) -> received.add(message),
        to -> Optional.of(HOST + ":" + receiver.port()),
        new SendBudget(new ManualTimerService(), 100_000),
        new ManualTimerService(),
        new MetricRegistry(),
        tls);
  }

  private static Optional<PeerTls> tls(String name, String authority) throws Exception {
    Path directory =
        Path.of(System.getProperty("project.root"), "daemon", "src", "test", "resources", "tls");
    IdentityFiles identity =
        new IdentityFiles(directory.resolve(name + ".pem"), directory.resolve(name + ".key"));
    return Optional.of(PeerTls.load(identity, directory.resolve(authority + ".pem"), PERIOD));
  }
}
