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
 * The fakes and three daemons in three availability zones, with settings in a temporary folder.
 *
 * <p>Invariant: closing stops every process it started and deletes the folder. Used by one thread,
 * except for closing.
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

  /** Starts the fakes, publishes the document and the VM list; starts no daemon yet. */
  static DemoFleet create() throws IOException {
    FakeSet fakes = FakeSet.start(new FakeSet.Ports(0, List.of(0, 0, 0), 0), KEYS);
    DemoDocument document = DemoDocument.load();
    for (FakeEngine engine : fakes.engines()) {
      document.setPort(engine.id(), engine.port());
    }
    document.setPort("bookings-1", fakes.bookings().port());
    fakes.platform().publish("configuration", document.version(), document.bytes());
    return new DemoFleet(Files.createTempDirectory("ragworttide-demo"), fakes, document);
  }

  /** Starts one daemon in each zone. */
  void startDaemons(Path root) throws IOException {
    List<DaemonProcess.Endpoints> allEndpoints = allEndpoints();
    fakes
        .platform()
        .publishVms(
            allEndpoints.stream().map(endpoints -> entry(endpoints, VmState.LIVE)).toList());
    for (DaemonProcess.Endpoints endpoints : allEndpoints) {
      startDaemon(root, endpoints);
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

  /** Waits until the daemons have a load report without any request in flight. */
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

  /** Publishes the VM list with one daemon leaving, or without it if it has stopped. */
  void publishLeaving(DaemonProcess leaving, boolean stopped) {
    List<VmEntry> entries = new ArrayList<>();
    for (DaemonProcess daemon : daemons) {
      if (daemon != leaving) {
        entries.add(entry(daemon.endpoints(), VmState.LIVE));
      } else if (!stopped) {
        entries.add(entry(daemon.endpoints(), VmState.LEAVING));
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

  private synchronized void startDaemon(Path root, DaemonProcess.Endpoints endpoints)
      throws IOException {
    if (!closed) {
      daemons.add(DaemonProcess.start(root, folder, endpoints, fakes.platform().port()));
    }
  }

  private static VmEntry entry(DaemonProcess.Endpoints endpoints, VmState state) {
    return new VmEntry(
        new VmId(endpoints.vm()),
        new ZoneId(endpoints.zone()),
        state,
        "127.0.0.1:" + endpoints.peers());
  }

  private static List<DaemonProcess.Endpoints> allEndpoints() throws IOException {
    List<Integer> ports = FreePorts.find(ZONES.size() * 3);
    List<DaemonProcess.Endpoints> allEndpoints = new ArrayList<>();
    for (int i = 0; i < ZONES.size(); i++) {
      allEndpoints.add(
          new DaemonProcess.Endpoints(
              "vm-" + (i + 1),
              ZONES.get(i),
              ports.get(3 * i),
              ports.get(3 * i + 1),
              ports.get(3 * i + 2)));
    }
    return allEndpoints;
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
