package org.ragworttide.coordination.versions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.VersionMessage;
import org.testng.annotations.Test;

/** Tests the propagation of versions under failures; no VM may return to an older version. */
public class VersionsTest {
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final int PROPAGATION_BOUND_MILLIS = 11_000;
  private static final int DOCUMENT_BYTES = 4_000;
  private static final DocumentDigest FORGED = DocumentDigest.of(new byte[] {1});

  @Test
  public void newVersionReachesEveryVmWithinTheBoundUnderMessageLoss() {
    for (long seed = SEED; seed < SEED + Math.max(1, SEEDS / 10); seed++) {
      PropagationFleet fleet = fleetAtVersion(seed, 350, 1);
      fleet.network.faults(0.05, 0.01, 20);
      publish(fleet, 2);
      fleet.time.advance(PROPAGATION_BOUND_MILLIS);
      assertEquals(fleet.lowestVersion(), 2, "seed " + seed);
    }
  }

  @Test
  public void onlyFewVmsPerZoneAreReaders() {
    PropagationFleet fleet = fleetAtVersion(SEED, 60, 1);
    long readers = fleet.vms.stream().filter(vm -> fleet.at(vm).isReader()).count();
    assertEquals(readers, 3L * ReaderOrder.READERS_PER_ZONE);
  }

  @Test
  public void standbyReadsWhenReadersAreDown() {
    PropagationFleet fleet = fleetAtVersion(SEED, 12, 1);
    List<VmId> readers = readers(fleet);
    readers.forEach(fleet::stop);
    fleet.time.advance(60_000);
    publish(fleet, 2);
    fleet.time.advance(PROPAGATION_BOUND_MILLIS);
    assertEquals(fleet.lowestVersion(), 2);
  }

  @Test
  public void standbyReadsWhenReadersCannotReachThePlatform() {
    PropagationFleet fleet = fleetAtVersion(SEED, 12, 1);
    final List<VmId> readers = readers(fleet);
    fleet.platformDown(true);
    fleet.readersRead();
    fleet.time.advance(10_000);
    fleet.platformDown(false);
    fleet.publish(2, PropagationFleet.document(2, DOCUMENT_BYTES));
    readers(fleet).stream().filter(vm -> !readers.contains(vm)).forEach(fleet::read);
    fleet.time.advance(PROPAGATION_BOUND_MILLIS);
    assertEquals(fleet.lowestVersion(), 2);
  }

  @Test
  public void staleReaderDoesNotReturnPeersToOlderVersion() {
    PropagationFleet fleet = fleetAtVersion(SEED, 9, 5);
    VmId stale = readers(fleet).getFirst();
    OfferOutcome outcome = fleet.at(stale).offer(4, PropagationFleet.document(4, DOCUMENT_BYTES));
    fleet.time.advance(5_000);
    assertEquals(outcome, new OfferOutcome.Stale(5));
    assertEquals(fleet.lowestVersion(), 5);
  }

  @Test
  public void vmThatStartsAndReadsStaleVersionIsNotReadyWithIt() {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      PropagationFleet fleet = fleetAtVersion(seed, 9, 5);
      fleet.network.faults(0.05, 0.05, 50);
      VmId fresh = fleet.vms.get((int) (seed % 9));
      fleet.start(fresh);
      fleet.at(fresh).offer(4, PropagationFleet.document(4, DOCUMENT_BYTES));
      fleet.at(fresh).start();
      String message = "seed " + seed;
      fleet.advance(
          8_000,
          10,
          vm -> assertTrue(!fleet.at(vm).isReady() || fleet.at(vm).version() == 5, message));
      assertTrue(fleet.at(fresh).isReady(), message);
    }
  }

  @Test
  public void vmWithoutReachablePeersIsReadyAfterTheBoundedWait() {
    PropagationFleet fleet = new PropagationFleet(SEED, 6, (from, to, message) -> {});
    fleet.vms.stream().skip(1).forEach(fleet::stop);
    Versions alone = fleet.at(fleet.vms.getFirst());
    alone.offer(1, PropagationFleet.document(1, DOCUMENT_BYTES));
    alone.start();
    fleet.time.advance(1_000);
    assertFalse(alone.isReady());
    fleet.time.advance(Readiness.MAX_ANSWER_WAIT_MILLIS);
    assertTrue(alone.isReady());
  }

  @Test
  public void versionOnOneSideOfPartitionReachesTheOtherSideAfterItHeals() {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      PropagationFleet fleet = fleetAtVersion(seed, 10, 1);
      List<VmId> one = fleet.vms.subList(0, 3);
      List<VmId> other = fleet.vms.subList(3, 10);
      fleet.split(one, other, true);
      fleet.publish(2, PropagationFleet.document(2, DOCUMENT_BYTES));
      fleet.read(one.getFirst());
      fleet.time.advance(20_000);
      assertEquals(fleet.lowestVersion(), 1, "seed " + seed);
      fleet.split(one, other, false);
      fleet.time.advance(PROPAGATION_BOUND_MILLIS);
      assertEquals(fleet.lowestVersion(), 2, "seed " + seed);
    }
  }

  @Test
  public void forgedVersionIsIgnoredAndDoesNotDelayGenuineOnes() {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      PropagationFleet fleet = fleetAtVersion(seed, 7, 1);
      SplittableRandom random = new SplittableRandom(seed);
      for (long version = 2; version < 6; version++) {
        for (VmId vm : fleet.vms) {
          VmId forger = fleet.vms.get(random.nextInt(7));
          long forged = version + random.nextInt(1_000_000);
          fleet.at(vm).receive(forger, new VersionMessage.Announce(forged, FORGED, 9, List.of()));
          byte[] junk = new byte[1 + random.nextInt(9)];
          fleet.at(vm).receive(forger, new VersionMessage.Chunk(forged, 0, junk));
        }
        publish(fleet, version);
        fleet.time.advance(PROPAGATION_BOUND_MILLIS);
        assertEquals(fleet.lowestVersion(), version, "seed " + seed);
      }
    }
  }

  @Test
  public void otherDocumentOfTheSameVersionIsCountedAndIgnored() {
    PropagationFleet fleet = fleetAtVersion(SEED, 3, 5);
    Versions versions = fleet.at(fleet.vms.getFirst());
    byte[] before = versions.document();
    versions.receive(fleet.vms.get(1), new VersionMessage.Announce(5, FORGED, 9, List.of()));
    assertEquals(versions.counters().conflicts(), 1);
    assertEquals(versions.document(), before);
  }

  @Test
  public void deltaWithWrongDigestIsRejected() {
    PropagationFleet fleet = fleetAtVersion(SEED, 3, 1);
    Versions versions = fleet.at(fleet.vms.getFirst());
    byte[] base = PropagationFleet.document(1, DOCUMENT_BYTES);
    DocumentDelta.Piece all = new DocumentDelta.Piece.Copy(0, base.length);
    DocumentDelta forged = new DocumentDelta(1, 2, FORGED, base.length, List.of(all));
    versions.receive(
        fleet.vms.get(1), new VersionMessage.Announce(2, FORGED, base.length, List.of(forged)));
    assertEquals(versions.version(), 1);
    assertEquals(versions.counters().rejected(), 1);
  }

  @Test
  public void chunksOfDocumentOtherThanTheAnnouncedOneAreRejected() {
    PropagationFleet fleet = fleetAtVersion(SEED, 3, 1);
    fleet.platformDown(true);
    VmId forger = fleet.vms.get(1);
    Versions versions = fleet.at(fleet.vms.getFirst());
    byte[] other = PropagationFleet.document(2, 100);
    for (int i = 0; i < 2; i++) {
      versions.receive(forger, new VersionMessage.Announce(2, FORGED, other.length, List.of()));
    }
    versions.receive(forger, new VersionMessage.Chunk(2, 0, other));
    assertEquals(versions.version(), 1);
    assertEquals(versions.counters().rejected(), 1);
  }

  @Test
  public void peerWithAnOlderVersionIsSentTheNewerOneAtOnce() {
    PropagationFleet fleet = fleetAtVersion(SEED, 3, 1);
    VmId behind = fleet.vms.get(1);
    VmId ahead = fleet.vms.get(2);
    fleet.split(List.of(behind), List.of(fleet.vms.getFirst(), ahead), true);
    fleet.publish(2, PropagationFleet.document(2, DOCUMENT_BYTES));
    fleet.read(ahead);
    fleet.time.advance(100);
    fleet.split(List.of(behind), List.of(ahead), false);
    DocumentDigest old = DocumentDigest.of(PropagationFleet.document(1, DOCUMENT_BYTES));
    fleet.at(ahead).receive(behind, new VersionMessage.Announce(1, old, 9, List.of()));
    fleet.time.advance(20);
    assertEquals(fleet.at(behind).version(), 2);
  }

  @Test
  public void versionsNeverDecreaseUnderCombinedFailures() {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      PropagationFleet fleet = fleetAtVersion(seed, 9, 1);
      fleet.network.faults(0.2, 0.2, 2_000);
      for (long version = 2; version < 30; version++) {
        fleet.publish(version, PropagationFleet.document(version, DOCUMENT_BYTES));
        List<VmId> readers = new ArrayList<>(readers(fleet));
        fleet.read(readers.get(random.nextInt(readers.size())));
        VmId victim = fleet.vms.get(random.nextInt(9));
        fleet.start(victim);
        fleet.at(victim).offer(1, PropagationFleet.document(1, DOCUMENT_BYTES));
        fleet.at(victim).start();
        fleet.time.advance(random.nextInt(3_000));
      }
      fleet.network.faults(0, 0, 3);
      fleet.readersRead();
      fleet.time.advance(30_000);
      assertEquals(fleet.lowestVersion(), 29, "seed " + seed);
    }
  }

  @Test
  public void documentIsFetchedInChunksWhenThePlatformIsDown() {
    PropagationFleet fleet = fleetAtVersion(SEED, 6, 1);
    fleet.publish(2, PropagationFleet.document(2, DOCUMENT_BYTES));
    fleet.read(fleet.vms.getFirst());
    fleet.platformDown(true);
    fleet.stop(fleet.vms.get(1));
    fleet.start(fleet.vms.get(1));
    fleet.time.advance(20_000);
    assertEquals(fleet.at(fleet.vms.get(1)).version(), 2);
  }

  private static PropagationFleet fleetAtVersion(long seed, int size, long version) {
    PropagationFleet fleet = new PropagationFleet(seed, size, (from, to, message) -> {});
    byte[] document = PropagationFleet.document(version, DOCUMENT_BYTES);
    fleet.publish(version, document);
    for (VmId vm : fleet.vms) {
      fleet.at(vm).offer(version, document);
      fleet.at(vm).start();
    }
    fleet.time.advance(3_500);
    return fleet;
  }

  private static void publish(PropagationFleet fleet, long version) {
    fleet.publish(version, PropagationFleet.document(version, DOCUMENT_BYTES));
    fleet.readersRead();
  }

  private static List<VmId> readers(PropagationFleet fleet) {
    return fleet.running().stream().filter(vm -> fleet.at(vm).isReader()).toList();
  }
}
