package org.ragworttide.bench.path;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
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
 * Three daemons in front of one fake engine, on loopback; the benchmark measures the first daemon.
 *
 * <p>Invariant: closing stops all processes and fakes that the fleet has started. Used by one
 * thread.
 */
final class BenchFleet implements AutoCloseable {
  /** API key of the caller. */
  static final String KEY = "bench-key";

  private static final String JAVA_OPTIONS = "-Xmx256m -XX:+UseSerialGC -XX:-UsePerfData";
  private static final List<String> ZONES = List.of("heraklion", "chania", "rethymno");
  private static final int PORTS_PER_DAEMON = 3;
  private static final String DOCUMENT =
      """
      {
        "version": 1,
        "fleet": { "name": "bench", "maxEntryVms": 4, "loadMultiple": 1.5,
          "claimRetentionSeconds": 12 },
        "zones": [ { "id": "heraklion", "service": "IN" }, { "id": "chania", "service": "IN" },
          { "id": "rethymno", "service": "IN" } ],
        "organisations": [ { "id": "bench", "ratePerSecond": 100000, "burst": 100000 } ],
        "keys": [ { "organisation": "bench", "sha256": "%s", "withdrawn": false } ],
        "upstreams": [ { "id": "engine-1", "kind": "ENGINE", "zone": "heraklion",
          "address": "127.0.0.1:%d", "models": ["repair-8b"], "service": "IN",
          "coldConcurrency": 16 } ],
        "routes": [ { "id": "chat", "path": "/v1/chat/completions", "kind": "CHAT",
          "open": false, "idempotent": true, "windowMillis": 60000, "upstreams": [] } ]
      }
      """;

  private final Path directory = Files.createTempDirectory("ragworttide-bench");
  private final List<BenchDaemon> daemons = new ArrayList<>();
  private final FakeSet fakes;
  private final int callersPort;

  private BenchFleet() throws IOException {
    fakes = FakeSet.start(new FakeSet.Ports(0, List.of(0), 0), Set.of(KEY));
    String document = DOCUMENT.formatted(sha256(KEY), engine().port());
    fakes.platform().publish("configuration", 1, document.getBytes(StandardCharsets.UTF_8));
    List<BenchDaemon.Location> locations = locations();
    callersPort = locations.getFirst().callers();
    fakes.platform().publishVms(locations.stream().map(BenchFleet::entry).toList());
    for (BenchDaemon.Location location : locations) {
      daemons.add(BenchDaemon.start(directory, location, fakes.platform().port(), JAVA_OPTIONS));
    }
  }

  /** Starts the fakes and the daemons; the daemons need some seconds until they serve. */
  static BenchFleet start() throws IOException {
    return new BenchFleet();
  }

  FakeEngine engine() {
    return fakes.engines().getFirst();
  }

  BenchDaemon measured() {
    return daemons.getFirst();
  }

  int callersPort() {
    return callersPort;
  }

  @Override
  public void close() {
    daemons.forEach(BenchDaemon::stop);
    fakes.close();
    deleteDirectory();
  }

  private static VmEntry entry(BenchDaemon.Location location) {
    return new VmEntry(
        new VmId(location.vm()),
        new ZoneId(location.zone()),
        VmState.LIVE,
        "127.0.0.1:" + location.peers());
  }

  private static List<BenchDaemon.Location> locations() throws IOException {
    List<Integer> ports = FreePorts.find(ZONES.size() * PORTS_PER_DAEMON);
    List<BenchDaemon.Location> locations = new ArrayList<>();
    for (int i = 0; i < ZONES.size(); i++) {
      int first = i * PORTS_PER_DAEMON;
      locations.add(
          new BenchDaemon.Location(
              "vm-" + (i + 1),
              ZONES.get(i),
              ports.get(first),
              ports.get(first + 1),
              ports.get(first + 2)));
    }
    return locations;
  }

  private static String sha256(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }

  private void deleteDirectory() {
    try (Stream<Path> paths = Files.walk(directory)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    } catch (IOException e) {
      System.err.println("bench: cannot delete " + directory + ": " + e.getMessage());
    }
  }
}
