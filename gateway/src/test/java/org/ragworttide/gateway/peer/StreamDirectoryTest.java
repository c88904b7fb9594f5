package org.ragworttide.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.ragworttide.coordination.streams.SoftwareVersion;
import org.ragworttide.coordination.streams.StreamId;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.gateway.feed.FeedAddress;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays fleets whose VMs are stopped, killed, cut off and added while callers continue streams.
 */
public class StreamDirectoryTest {
  private static final SoftwareVersion OLD = SoftwareVersion.of("service", "v1");
  private static final SoftwareVersion NEW = SoftwareVersion.of("service", "v2");
  private static final long DELAY_MILLIS = 2;
  private static final int STREAMS = 300;

  /** What a VM may send for control. */
  private static final int BYTES_PER_SECOND = 4_096;

  /** VMs with datagrams between them that take time and may be lost. */
  private static final class Fleet {
    private final ManualTimerService time = new ManualTimerService();
    private final SplittableRandom random = new SplittableRandom(53);
    private final List<Optional<StreamDirectory>> vms = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Set<Long> cut = new HashSet<>();
    private final long[] sentBytes;
    private double lostShare;

    private Fleet(int size) {
      sentBytes = new long[size];
      for (int i = 0; i < size; i++) {
        addresses.add(new InetSocketAddress("10.0." + i / 250 + "." + (1 + i % 250), 9000));
        vms.add(Optional.empty());
      }
      for (int i = 0; i < size; i++) {
        start(i);
      }
    }

    private int size() {
      return vms.size();
    }

    private void start(int vm) {
      StreamDirectory directory =
          new StreamDirectory(addresses.get(vm), addresses.subList(0, Math.min(3, size())), time);
      vms.set(vm, Optional.of(directory));
      Set<Long> others = new HashSet<>();
      for (InetSocketAddress address : addresses) {
        if (!address.equals(addresses.get(vm))) {
          others.add(FeedAddress.number(address));
        }
      }
      directory.start((bytes, to) -> send(vm, directory, bytes, to), () -> others);
    }

    private void kill(int vm) {
      vms.set(vm, Optional.empty());
    }

    private void send(int from, StreamDirectory sender, byte[] bytes, InetSocketAddress to) {
      boolean isLost =
          vms.get(from).filter(it -> it == sender).isEmpty()
              || cut.contains(FeedAddress.number(addresses.get(from)))
              || cut.contains(FeedAddress.number(to))
              || random.nextDouble() < lostShare;
      if (!isLost) {
        sentBytes[from] += bytes.length;
        time.after(DELAY_MILLIS, () -> receive(bytes, addresses.get(from), to));
      }
    }

    private void receive(byte[] bytes, InetSocketAddress from, InetSocketAddress to) {
      vms.get(addresses.indexOf(to))
          .ifPresent(
              vm -> {
                StreamMessage.decode(bytes).ifPresent(message -> vm.receive(message, from));
                HandoverMessage.decode(bytes).ifPresent(message -> vm.receive(message, from));
              });
    }

    private void advance(long millis) {
      for (long i = 0; i < millis; i++) {
        time.advance(1);
      }
    }

    private void begin(int vm, int stream) {
      vms.get(vm).orElseThrow().record(id(stream), version(stream));
    }

    private Optional<SoftwareVersion> find(int vm, int stream) {
      AtomicReference<Optional<SoftwareVersion>> found = new AtomicReference<>();
      vms.get(vm).orElseThrow().find(id(stream), found::set);
      for (int i = 0; i < 300 && found.get() == null; i++) {
        time.advance(1);
      }
      return found.get();
    }

    private static StreamId id(int stream) {
      return StreamId.of("stream-" + stream);
    }

    private static SoftwareVersion version(int stream) {
      return stream % 2 == 0 ? OLD : NEW;
    }

    /** Returns the share of the streams that random VMs find; a wrong version fails the test. */
    private double foundShare(int streams) {
      int found = 0;
      for (int stream = 0; stream < streams; stream++) {
        int vm = random.nextInt(size());
        while (vms.get(vm).isEmpty()) {
          vm = (vm + 1) % size();
        }
        Optional<SoftwareVersion> version = find(vm, stream);
        if (version.isPresent()) {
          assertEquals(version.get(), version(stream));
          found++;
        }
      }
      return (double) found / streams;
    }

    private void beginAll() {
      for (int stream = 0; stream < STREAMS; stream++) {
        begin(random.nextInt(size()), stream);
      }
      advance(100);
    }
  }

  /** Sizes of fleets. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{3}, {7}, {95}, {345}};
  }

  /** Guards against streams that are refused after a rolling restart. */
  @Test(dataProvider = "sizes")
  public void streamsOutliveRestartOfAllVmsInTurn(int size) {
    Fleet fleet = new Fleet(size);
    fleet.advance(5_000);
    fleet.beginAll();
    for (int vm = 0; vm < size; vm++) {
      fleet.kill(vm);
      fleet.advance(20);
      fleet.start(vm);
      fleet.advance(size > 100 ? 5_000 / 50 : 500);
    }
    double found = fleet.foundShare(STREAMS);
    assertTrue(found >= 0.99, "found " + found);
  }

  @Test
  public void streamsOutliveRestartOfAllVmsInTurnBesideLostDatagrams() {
    Fleet fleet = new Fleet(7);
    fleet.lostShare = 0.1;
    fleet.advance(5_000);
    fleet.beginAll();
    for (int vm = 0; vm < 7; vm++) {
      fleet.kill(vm);
      fleet.start(vm);
      fleet.advance(2_000);
    }
    double found = fleet.foundShare(STREAMS);
    assertTrue(found >= 0.95, "found " + found);
  }

  /** Guards against VMs that start while they are cut off and remember nothing ever after. */
  @Test
  public void vmThatStartsWhileCutOffReceivesItsStreamsLater() {
    Fleet fleet = new Fleet(3);
    fleet.advance(1_000);
    fleet.begin(0, 1);
    fleet.advance(100);
    fleet.kill(1);
    fleet.kill(2);
    fleet.cut.add(FeedAddress.number(fleet.addresses.get(0)));
    fleet.start(1);
    fleet.start(2);
    fleet.advance(8_000);
    fleet.cut.clear();
    fleet.advance(4_000);
    fleet.kill(0);
    assertEquals(fleet.find(1, 1), Optional.of(NEW));
    assertEquals(fleet.find(2, 1), Optional.of(NEW));
  }

  /** Guards against streams that only the VM that began them remembers after a cut. */
  @Test
  public void streamThatBeganDuringCutIsFoundInSmallFleetAfterIt() {
    Fleet fleet = new Fleet(7);
    fleet.advance(6_000);
    fleet.cut.add(FeedAddress.number(fleet.addresses.get(0)));
    for (int stream = 0; stream < STREAMS; stream++) {
      fleet.begin(0, stream);
    }
    fleet.advance(1_000);
    fleet.cut.clear();
    assertEquals(fleet.foundShare(STREAMS), 1.0);
  }

  /** Replays a start in the largest fleet with a tenth of its streams. */
  @Test
  public void startOfVmCostsEachOtherLessThanItsBudgetOfOneSecond() {
    Fleet fleet = new Fleet(345);
    fleet.advance(5_000);
    for (int stream = 0; stream < 30_000; stream++) {
      fleet.begin(fleet.random.nextInt(345), stream);
    }
    fleet.advance(100);
    fleet.kill(0);
    long[] before = fleet.sentBytes.clone();
    fleet.start(0);
    fleet.advance(6_000);
    long mostBytes = 0;
    for (int vm = 1; vm < 345; vm++) {
      mostBytes = Math.max(mostBytes, fleet.sentBytes[vm] - before[vm]);
    }
    assertTrue(mostBytes <= BYTES_PER_SECOND / 10, "sent " + mostBytes);
    assertTrue(fleet.sentBytes[0] - before[0] <= BYTES_PER_SECOND, "asked " + fleet.sentBytes[0]);
  }

  @Test
  public void handedOverStreamIsForgottenWithTheOthers() {
    Fleet fleet = new Fleet(2);
    fleet.begin(0, 1);
    fleet.advance(40_000);
    fleet.kill(1);
    fleet.start(1);
    fleet.advance(1_000);
    fleet.kill(0);
    fleet.advance(20_000);
    assertEquals(fleet.find(1, 1), Optional.empty());
  }
}
