package org.ragworttide.bench.path;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * One daemon as a process of its own.
 *
 * <p>Invariant: stops only the process it has started. Used by one thread.
 */
final class BenchDaemon {
  private static final long KILL_AFTER_SECONDS = 20;
  private static final String SETTINGS =
      """
      {
        "vm": "%s", "zone": "%s", "fleet": "bench",
        "callers": { "host": "127.0.0.1", "port": %d, "plain": true },
        "operators": { "host": "127.0.0.1", "port": %d },
        "peers": { "host": "127.0.0.1", "port": %d, "plain": true },
        "platform": { "host": "127.0.0.1", "port": %d },
        "upstream": { "plain": true, "maxConnections": 4000 }
      }
      """;

  /**
   * Where a daemon stands; all ports are on loopback.
   *
   * @param vm its VM's id
   * @param zone its availability zone
   * @param callers port of the callers' listener
   * @param operators port of the operators' listener
   * @param peers port of the peers' listener
   */
  record Place(String vm, String zone, int callers, int operators, int peers) {}

  private final Process process;

  private BenchDaemon(Process process) {
    this.process = process;
  }

  static BenchDaemon start(Path folder, Place place, int platformPort, String javaOptions)
      throws IOException {
    Path settings = folder.resolve(place.vm() + ".json");
    Files.writeString(
        settings,
        SETTINGS.formatted(
            place.vm(),
            place.zone(),
            place.callers(),
            place.operators(),
            place.peers(),
            platformPort));
    Path launcher = Path.of(System.getProperty("ragworttide.root"), "bin", "ragworttided");
    ProcessBuilder builder =
        new ProcessBuilder(launcher.toString(), "--settings", settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(place.vm() + ".log").toFile());
    builder.environment().put("JAVA_OPTS", javaOptions);
    Process process = builder.start();
    process.getOutputStream().close();
    return new BenchDaemon(process);
  }

  /** Returns the processor time that it has used. */
  Duration processorTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Stops it, at once if it takes too long. */
  void stop() {
    process.destroy();
    try {
      if (process.waitFor(KILL_AFTER_SECONDS, TimeUnit.SECONDS)) {
        return;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    process.destroyForcibly();
  }
}
