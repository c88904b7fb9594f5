package org.ragworttide.fakes.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmState;
import org.ragworttide.fakes.FakeEngine;
import org.ragworttide.fakes.FakeSet;
import org.ragworttide.fakes.FreePorts;

/**
 * The stand-ins and three daemons in three availability zones, with settings in a folder that goes
 * at the end.
 *
 * <p>Invariant: closing stops everything that was started. Used by one thread, but for closing.
 */
final class DemoFleet implements AutoCloseable {
  static final Set<String> KEYS = Set.of("hotel-key", "hotel-old-key", "plumber-key");
  private static final List<String> ZONES = List.of("heraklion", "chania", "rethymno");

  private static final int MAX_POLLS = 100;
  private static final long POLL_MILLIS = 20;
  private static final long DELIVERY_MILLIS = 60;

  private final Path folder;
  private final FakeSet fakes;
  private final DemoDocument document;
  private final List<DaemonProcess> daemons = new ArrayList<>();
  private boolean closed;

  private DemoFleet(Path folder, FakeSet fakes, DemoDocument document) {
    this.folder = folder;
    this.fakes = fakes;
    this.document = document;
  }

  /** Starts the stand-ins, publishes the document and the VM list; starts no daemon yet. */
  static DemoFleet create() throws IOException {
    FakeSet fakes = FakeSet.start(new FakeSet.Ports(0, List.of(0, 0, 0), 0), KEYS);
    DemoDocument document = DemoDocument.load();
    for (FakeEngine engine : fakes.engines()) {
      document.place(engine.id(), engine.port());
    }
    document.place("bookings-1", fakes.bookings().port());
    fakes.platform().publish("configuration", document.version(), document.bytes());
    return new DemoFleet(Files.createTempDirectory("ragworttide-demo"), fakes, document);
  }

  /** Starts one daemon in each zone. */
  void startDaemons(Path root) throws IOException {
    List<DaemonProcess.Spot> spots = spots();
    fakes.platform().publishVms(spots.stream().map(spot -> entry(spot, VmState.LIVE)).toList());
    for (DaemonProcess.Spot spot : spots) {
      startDaemon(root, spot);
    }
  }

  FakeSet fakes() {
    return fakes;
  }

  DemoDocument document() {
    return document;
  }

  List<DaemonProcess> daemons() {
    return daemons;
  }

  /** Waits until the daemons have a load report that names no request in flight. */
  void awaitIdleReport() {
    long before = fakes.idleReports();
    for (int i = 0; i < MAX_POLLS && fakes.idleReports() <= before; i++) {
      DemoCaller.pause(POLL_MILLIS);
      before = Math.min(before, fakes.idleReports());
    }
    DemoCaller.pause(DELIVERY_MILLIS);
  }

  void publishDocument() {
    fakes.platform().publish("configuration", document.version(), document.bytes());
  }

  /** Publishes the VM list with one daemon leaving, or gone when it is given as stopped. */
  void publishLeaving(DaemonProcess leaving, boolean stopped) {
    List<VmEntry> entries = new ArrayList<>();
    for (DaemonProcess daemon : daemons) {
      if (daemon != leaving) {
        entries.add(entry(daemon.spot(), VmState.LIVE));
      } else if (!stopped) {
        entries.add(entry(daemon.spot(), VmState.LEAVING));
      }
    }
    fakes.platform().publishVms(entries);
  }

  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    daemons.forEach(DaemonProcess::terminate);
    daemons.forEach(DaemonProcess::awaitExit);
    fakes.close();
    deleteFolder();
  }

  private synchronized void startDaemon(Path root, DaemonProcess.Spot spot) throws IOException {
    if (!closed) {
      daemons.add(DaemonProcess.start(root, folder, spot, fakes.platform().port()));
    }
  }

  private static VmEntry entry(DaemonProcess.Spot spot, VmState state) {
    return new VmEntry(
        new VmId(spot.vm()), new ZoneId(spot.zone()), state, "127.0.0.1:" + spot.peers());
  }

  private static List<DaemonProcess.Spot> spots() throws IOException {
    List<Integer> ports = FreePorts.find(ZONES.size() * 3);
    List<DaemonProcess.Spot> spots = new ArrayList<>();
    for (int i = 0; i < ZONES.size(); i++) {
      spots.add(
          new DaemonProcess.Spot(
              "vm-" + (i + 1),
              ZONES.get(i),
              ports.get(3 * i),
              ports.get(3 * i + 1),
              ports.get(3 * i + 2)));
    }
    return spots;
  }

  private void deleteFolder() {
    try (Stream<Path> paths = Files.walk(folder)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    } catch (IOException e) {
      System.err.println("demo: can't remove " + folder + ": " + e.getMessage());
    }
  }
}
