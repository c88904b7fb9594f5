package org.ragworttide.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.protocol.PeerFrameCodec;
import org.ragworttide.protocol.wire.PeerFrame;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests connections with valid peers, peers of another fleet and malformed frames. */
public class PeerNetworkTest {
  private static final String HOST = "127.0.0.1";
  private static final long TIMEOUT_SECONDS = 10;
  private static final PeerMessage MESSAGE = new MembershipMessage.ListRequest(7, 0, 0);

  private MetricRegistry metrics;
  private BlockingQueue<PeerMessage> received;
  private PeerNetwork receiver;
  private int port;

  /** Starts the receiving daemon's network. */
  @BeforeMethod
  public void listen() {
    received = new LinkedBlockingQueue<>();
    metrics = new MetricRegistry();
    receiver =
        new PeerNetwork(
            identity("fleet", "vm-1"),
            (from, run, message) -> received.add(message),
            vm -> Optional.empty(),
            new SendBudget(new ManualTimerService(), 100_000),
            new ManualTimerService(),
            metrics,
            Optional.empty());
    receiver.bind(HOST, 0).block();
    port = receiver.port();
  }

  /** Stops the receiving daemon's network. */
  @AfterMethod
  public void close() {
    receiver.close();
  }

  @Test
  public void messageReachesItsPeer() throws InterruptedException {
    PeerNetwork sender = sender("fleet");
    sender.send(new VmId("vm-1"), MESSAGE);
    assertEquals(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), MESSAGE);
    sender.close();
  }

  @Test
  public void messageBeyondTheBudgetIsDropped() {
    SendBudget budget = new SendBudget(new ManualTimerService(), 1);
    int passed = 0;
    for (int i = 0; i < 100; i++) {
      passed += budget.tryConsume(MESSAGE, 10) ? 1 : 0;
    }
    assertEquals(passed, 3);
  }

  @Test
  public void claimsDoNotExhaustTheBudgetOfLeases() {
    SendBudget budget = new SendBudget(new ManualTimerService(), 10);
    Incarnation run = new Incarnation(1);
    PeerMessage claim = new ClaimMessage.VoteRequest(1, 1, run, new RequestKey("booking"));
    while (budget.tryConsume(claim, 100)) {
      // Exhausts the share of the budget that claims may use.
    }
    PeerMessage lease = new LeaseMessage.Release(1, run, List.of(1));
    assertTrue(budget.tryConsume(lease, 100));
  }

  @Test
  public void messageReachesItsPeerAfterThePeerHasRestarted() throws InterruptedException {
    PeerNetwork sender = sender("fleet");
    sender.send(new VmId("vm-1"), MESSAGE);
    assertEquals(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), MESSAGE);
    receiver.close();
    receiver.bind(HOST, port).block();
    assertEquals(repeatUntilReceived(sender), MESSAGE);
    sender.close();
  }

  @Test
  public void connectionToSilentPeerIsReplaced() throws IOException {
    ManualTimerService time = new ManualTimerService();
    try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getByName(HOST))) {
      silent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      PeerNetwork sender = sender("fleet", silent.getLocalPort(), time);
      sender.send(new VmId("vm-1"), MESSAGE);
      try (Socket first = silent.accept()) {
        time.advance(AddressedLink.SILENCE_TIMEOUT_MILLIS);
        sender.send(new VmId("vm-1"), MESSAGE);
        silent.accept().close();
        first.getInputStream().readAllBytes();
      }
      sender.close();
    }
  }

  @Test
  public void connectionToPeerThatSendsMessagesStaysOpen() throws IOException {
    ManualTimerService time = new ManualTimerService();
    try (ServerSocket quiet = new ServerSocket(0, 10, InetAddress.getByName(HOST))) {
      PeerNetwork sender = sender("fleet", quiet.getLocalPort(), time);
      sender.send(new VmId("vm-1"), MESSAGE);
      try (Socket only = quiet.accept()) {
        time.advance(AddressedLink.SILENCE_TIMEOUT_MILLIS);
        sender.recordReceived(new VmId("vm-1"));
        sender.send(new VmId("vm-1"), MESSAGE);
        sender.close();
        int frame = PeerFrameCodec.encode(MESSAGE).getSerializedSize() + Integer.BYTES;
        assertTrue(only.getInputStream().readAllBytes().length >= 2 * frame);
      }
    }
  }

  @Test
  public void peerOfAnotherFleetIsRefused() throws InterruptedException {
    long before = refused();
    PeerNetwork sender = sender("another fleet");
    sender.send(new VmId("vm-1"), MESSAGE);
    awaitRefused(before);
    assertNull(received.poll());
    sender.close();
  }

  @Test
  public void messageBeforeHelloIsRefused() throws Exception {
    long before = refused();
    try (Socket socket = new Socket(HOST, port)) {
      write(socket, PeerFrameCodec.encode(MESSAGE).toByteArray());
      awaitRefused(before);
    }
    assertNull(received.poll());
  }

  @Test
  public void unknownTopicIsIgnoredAndTheNextMessageIsReceived() throws Exception {
    long before = refused();
    try (Socket socket = new Socket(HOST, port)) {
      write(socket, PeerFrames.hello(identity("fleet", "vm-2")).toByteArray());
      write(socket, PeerFrame.getDefaultInstance().toByteArray());
      write(socket, PeerFrameCodec.encode(MESSAGE).toByteArray());
      assertEquals(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), MESSAGE);
    }
    assertEquals(refused(), before + 1);
  }

  @Test
  public void randomFramesDoNotStopTheServer() throws Exception {
    long seed = Long.getLong("seed", 1);
    System.out.println("seed " + seed);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < 200; i++) {
      byte[] frame = new byte[random.nextInt(1, 200)];
      random.nextBytes(frame);
      try (Socket socket = new Socket(HOST, port)) {
        write(socket, PeerFrames.hello(identity("fleet", "vm-2")).toByteArray());
        write(socket, frame);
      }
    }
    messageReachesItsPeer();
  }

  @Test
  public void truncatedFrameDoesNotStopTheServer() throws Exception {
    try (Socket socket = new Socket(HOST, port)) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(100);
      out.writeByte(1);
    }
    messageReachesItsPeer();
  }

  @Test
  public void frameAboveTheLimitClosesOnlyItsConnection() throws Exception {
    try (Socket socket = new Socket(HOST, port)) {
      new DataOutputStream(socket.getOutputStream()).writeInt(Integer.MAX_VALUE);
      assertEquals(socket.getInputStream().read(), -1);
    }
    messageReachesItsPeer();
  }

  private PeerMessage repeatUntilReceived(PeerNetwork sender) throws InterruptedException {
    // A frame written to the lost connection is lost as well; peers repeat important messages.
    for (int i = 0; i < TIMEOUT_SECONDS * 10; i++) {
      sender.send(new VmId("vm-1"), MESSAGE);
      PeerMessage message = received.poll(100, TimeUnit.MILLISECONDS);
      if (message != null) {
        return message;
      }
    }
    return null;
  }

  private long refused() {
    return metrics.counter("control.refused.frames").getCount();
  }

  private void awaitRefused(long before) throws InterruptedException {
    for (int i = 0; i < TIMEOUT_SECONDS * 100 && refused() == before; i++) {
      Thread.sleep(10);
    }
    assertEquals(refused(), before + 1);
  }

  private PeerNetwork sender(String fleet) {
    return sender(fleet, port, new ManualTimerService());
  }

  private static PeerNetwork sender(String fleet, int peerPort, TimerService time) {
    return new PeerNetwork(
        identity(fleet, "vm-2"),
        (from, run, message) -> {},
        vm -> Optional.of(HOST + ":" + peerPort),
        new SendBudget(time, 100_000),
        time,
        new MetricRegistry(),
        Optional.empty());
  }

  private static PeerIdentity identity(String fleet, String vm) {
    return new PeerIdentity(fleet, new VmId(vm), new Incarnation(1));
  }

  private static void write(Socket socket, byte[] frame) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(frame.length);
    out.write(frame);
    out.flush();
  }
}
