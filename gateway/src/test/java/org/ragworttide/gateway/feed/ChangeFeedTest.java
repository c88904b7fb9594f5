package org.ragworttide.gateway.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ragworttide.coordination.feed.Change;
import org.ragworttide.coordination.feed.ChangeBatch;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.feed.ItemRules;
import org.ragworttide.coordination.feed.ItemVersion;
import org.ragworttide.coordination.feed.StorePosition;
import org.ragworttide.gateway.LoopTimer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that VMs receive the store's changes from each other over connections on loopback. */
public class ChangeFeedTest {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

  private EventLoopGroup group;
  private EventLoop loop;
  private Vm reading;
  private Vm refused;

  /** Rules for items without versions, which are kept for a minute. Stateless. */
  private static final class UnnumberedItems implements ItemRules {
    @Override
    public Optional<ItemVersion> version(String key, byte[] value) {
      return Optional.empty();
    }

    @Override
    public long missingGraceMillis(String key) {
      return 60_000;
    }

    @Override
    public long outdatedGraceMillis(String key) {
      return 60_000;
    }
  }

  /** A VM whose store reader is played by the test. Its feed is confined to the event loop. */
  private final class Vm implements StoreReader, ChangeListener {
    private final InetSocketAddress address = freeAddress();
    private final Map<String, Long> applied = new ConcurrentHashMap<>();
    private final FeedMember member = new FeedMember(FeedAddress.number(address), 1);
    private final ChangeFeed feed =
        new ChangeFeed(
            member,
            List.of(new InetSocketAddress("127.0.0.1", 1)),
            new UnnumberedItems(),
            new LoopTimer(loop));
    private volatile boolean isServed;
    private boolean watching;

    private Vm(boolean isServed) throws IOException {
      this.isServed = isServed;
      feed.connect(this, this);
      feed.start(loop, NioServerSocketChannel.class, NioSocketChannel.class, address);
    }

    @Override
    public void setWatching(boolean wanted) {
      watching = wanted;
      poll();
    }

    @Override
    public void catchUp() {
      answer();
    }

    @Override
    public void read(StorePosition after, Consumer<ReadOutcome> outcome) {
      outcome.accept(new ReadOutcome.Unanswered());
    }

    private void poll() {
      if (watching) {
        answer();
        loop.schedule(this::poll, 50, TimeUnit.MILLISECONDS);
      }
    }

    private void answer() {
      loop.execute(
          () -> {
            if (isServed) {
              feed.recordStoreAnswer(
                  ChangeBatch.changes(feed.position(), feed.position().revision(), List.of()));
            } else {
              feed.recordStoreFailure();
            }
          });
    }

    @Override
    public void apply(Change change) {
      if (change.key().equals("failing")) {
        throw new IllegalStateException("change cannot be applied");
      }
      applied.put(change.key(), change.revision());
    }

    @Override
    public void recordPast(List<Change> changes) {
      // The test does not need it.
    }

    @Override
    public void recordGap() {
      // The test does not need it.
    }

    @Override
    public void recordStoreContact() {
      // The test does not need it.
    }
  }

  /** Starts a VM that the store serves and one that it refuses from the start. */
  @BeforeMethod
  public void start() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    reading = new Vm(true);
    refused = new Vm(false);
    put(
        reading,
        ChangeBatch.listing(at(5), List.of(Change.put("configuration", 5, new byte[9])), 0));
    List<FeedMember> members = List.of(reading.member, refused.member);
    loop.execute(() -> reading.feed.setMembers(members));
    loop.execute(() -> refused.feed.setMembers(members));
  }

  /** Stops the VMs. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void put(Vm vm, ChangeBatch batch) {
    loop.execute(() -> vm.feed.recordStoreAnswer(batch));
  }

  private static StorePosition at(long revision) {
    return new StorePosition(1, revision);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static void eventually(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadlineNanos, "condition not met in time");
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
  }

  @Test
  public void vmThatTheStoreRefusesReceivesAllItemsAndEachChange() {
    eventually(() -> refused.applied.getOrDefault("configuration", 0L) == 5);
    put(
        reading,
        ChangeBatch.changes(at(5), 6, List.of(Change.put("configuration", 6, new byte[2_000]))));
    eventually(() -> refused.applied.getOrDefault("configuration", 0L) == 6);
  }

  /** Guards against one change that ends the reading of the store, here and on other VMs. */
  @Test
  public void changesAfterOneThatCannotBeAppliedAreApplied() {
    eventually(() -> refused.applied.getOrDefault("configuration", 0L) == 5);
    List<Change> changes =
        List.of(Change.put("failing", 6, new byte[1]), Change.put("configuration", 7, new byte[2]));
    put(reading, ChangeBatch.changes(at(5), 7, changes));
    eventually(() -> reading.applied.getOrDefault("configuration", 0L) == 7);
    eventually(() -> refused.applied.getOrDefault("configuration", 0L) == 7);
  }

  @Test
  public void connectionThatSendsNoRequestIsClosed() throws IOException {
    try (Socket socket = new Socket(reading.address.getAddress(), reading.address.getPort())) {
      socket.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(TIMEOUT_NANOS));
      socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
      assertEquals(new DataInputStream(socket.getInputStream()).read(), -1);
    }
  }
}
