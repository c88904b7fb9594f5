package org.ragworttide.bench.path;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Daemon that runs as a separate process.
 *
 * <p>Invariant: it stops only the process that it has started. Used by one thread.
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
   * VM, zone and ports of a daemon; all ports are on loopback.
   *
   * @param vm id of the VM
   * @param zone id of the availability zone
   * @param callers port of the callers' listener
   * @param operators port of the operators' listener
   * @param peers port of the peers' listener
   */
  record Location(String vm, String zone, int callers, int operators, int peers) {}

  private final Process process;

  private BenchDaemon(Process process) {
    this.process = process;
  }

  static BenchDaemon start(Path directory, Location location, int platformPort, String javaOptions)
      throws IOException {
    Path settings = directory.resolve(location.vm() + ".json");
    Files.writeString(
        settings,
        SETTINGS.formatted(
            location.vm(),
            location.zone(),
            location.callers(),
            location.operators(),
            location.peers(),
            platformPort));
    Path launcher = Path.of(System.getProperty("ragworttide.root"), "bin", "ragworttided");
    ProcessBuilder builder =
        new ProcessBuilder(launcher.toString(), "--settings", settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve(location.vm() + ".log").toFile());
    builder.environment().put("JAVA_OPTS", javaOptions);
    Process process = builder.start();
    process.getOutputStream().close();
    return new BenchDaemon(process);
  }

  /** Returns the CPU time that the daemon has used. */
  Duration cpuTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Stops the daemon; kills it if it does not exit in time. */
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
