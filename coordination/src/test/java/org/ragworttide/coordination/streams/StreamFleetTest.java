package org.ragworttide.coordination.streams;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays fleets that lose VMs while callers continue streams at others, whose views of the members
 * differ.
 */
public class StreamFleetTest {
  private static final int STREAMS = 2_000;
  private static final int ZONES = 3;
  private static final double UNKNOWN_MEMBERS = 0.05;
  private static final SoftwareVersion OLD = SoftwareVersion.of("service", "v1");
  private static final SoftwareVersion NEW = SoftwareVersion.of("service", "v2");

  private static final class Vm {
    private final StreamVersions versions = new StreamVersions();
    private final Set<Long> members = new HashSet<>();
    private boolean alive = true;
  }

  private static final class Fleet {
    private final SplittableRandom random = new SplittableRandom(20261206);
    private final List<Vm> vms = new ArrayList<>();
    private int messages;

    private Fleet(int count) {
      for (int i = 0; i < count; i++) {
        Vm vm = new Vm();
        vms.add(vm);
        for (long member = 0; member < count; member++) {
          if (member == i || random.nextDouble() >= UNKNOWN_MEMBERS) {
            vm.members.add(member);
          }
        }
      }
    }

    private void begin(int vm, int stream) {
      StreamId id = StreamId.of("stream-" + stream);
      SoftwareVersion version = stream % 2 == 0 ? OLD : NEW;
      vms.get(vm).versions.record(id, version, 0);
      for (long keeper : StreamKeepers.choose(id, vms.get(vm).members)) {
        messages++;
        vms.get((int) keeper).versions.record(id, version, 0);
      }
    }

    private Optional<SoftwareVersion> find(int vm, int stream, long nowMillis) {
      StreamId id = StreamId.of("stream-" + stream);
      StreamInquiry inquiry =
          new StreamInquiry(StreamKeepers.choose(id, vms.get(vm).members), false);
      for (long keeper : StreamKeepers.choose(id, vms.get(vm).members)) {
        Vm asked = vms.get((int) keeper);
        if (asked.alive) {
          asked
              .versions
              .find(id, nowMillis)
              .ifPresentOrElse(inquiry::recordKnown, () -> inquiry.recordNotKnown(keeper));
        }
      }
      return inquiry.version();
    }

    private double foundShare() {
      int found = 0;
      for (int stream = 0; stream < STREAMS; stream++) {
        int vm = random.nextInt(vms.size());
        while (!vms.get(vm).alive) {
          vm = (vm + 1) % vms.size();
        }
        Optional<SoftwareVersion> version = find(vm, stream, 1_000);
        if (version.isPresent()) {
          assertEquals(version.get(), stream % 2 == 0 ? OLD : NEW);
          found++;
        }
      }
      return (double) found / STREAMS;
    }
  }

  /** Sizes of fleets. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{7}, {95}, {345}};
  }

  private static Fleet fleetWithStreams(int size) {
    Fleet fleet = new Fleet(size);
    for (int stream = 0; stream < STREAMS; stream++) {
      fleet.begin(fleet.random.nextInt(size), stream);
    }
    return fleet;
  }

  @Test(dataProvider = "sizes")
  public void streamsAreRememberedWhenThirdOfTheVmsIsKilled(int size) {
    Fleet fleet = fleetWithStreams(size);
    for (int i = 0; i < size * 35 / 100; i++) {
      fleet.vms.get(fleet.random.nextInt(size)).alive = false;
    }
    double found = fleet.foundShare();
    assertTrue(found >= 0.95, "found " + found);
  }

  @Test(dataProvider = "sizes")
  public void streamsAreRememberedWhenZoneIsLost(int size) {
    Fleet fleet = fleetWithStreams(size);
    for (int i = 0; i < size; i += ZONES) {
      fleet.vms.get(i).alive = false;
    }
    double found = fleet.foundShare();
    assertTrue(found >= 0.95, "found " + found);
  }

  @Test(dataProvider = "sizes")
  public void streamsAreUnknownAfterTheLossOfAllVms(int size) {
    fleetWithStreams(size);
    assertEquals(new Fleet(size).foundShare(), 0.0);
  }

  @Test(dataProvider = "sizes")
  public void streamCostsTheSameMessagesInFleetsOfAnySize(int size) {
    Fleet fleet = fleetWithStreams(size);
    assertTrue(fleet.messages <= STREAMS * StreamKeepers.KEEPERS, "messages " + fleet.messages);
  }
}
