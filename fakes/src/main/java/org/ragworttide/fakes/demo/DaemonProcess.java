package org.ragworttide.fakes.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Daemon that the demo runs as a separate process.
 *
 * <p>Invariant: stops only the process it has started. Safe for use by any thread.
 */
final class DaemonProcess {
  private static final long KILL_AFTER_SECONDS = 20;
  private static final int KILLED = -1;
  private static final String QUICK_START =
      "-XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xmx256m -XX:-UsePerfData";
  private static final String SETTINGS =
      """
      {
        // Written by the demo and removed at its end.
        "vm": "%s", "zone": "%s", "fleet": "demo",
        "callers": { "host": "127.0.0.1", "port": %d, "plain": true },
        "operators": { "host": "127.0.0.1", "port": %d },
        "peers": { "host": "127.0.0.1", "port": %d, "plain": true },
        "platform": { "host": "127.0.0.1", "port": %d },
        "upstream": { "plain": true }
      }
      """;

  /**
   * Identity of a daemon and its ports on loopback.
   *
   * @param vm its VM's id
   * @param zone its availability zone
   * @param callers port of the callers' listener
   * @param operators port of the operators' listener
   * @param peers port of the peers' listener
   */
  record Endpoints(String vm, String zone, int callers, int operators, int peers) {

    String callersUrl() {
      return "http://127.0.0.1:" + callers;
    }

    String operatorsUrl() {
      return "http://127.0.0.1:" + operators;
    }
  }

  private final Endpoints endpoints;
  private final Path log;
  private final Process process;

  private DaemonProcess(Endpoints endpoints, Path log, Process process) {
    this.endpoints = endpoints;
    this.log = log;
    this.process = process;
  }

  static DaemonProcess start(Path root, Path folder, Endpoints endpoints, int platformPort)
      throws IOException {
    Path settings = folder.resolve(endpoints.vm() + ".json");
    Path log = folder.resolve(endpoints.vm() + ".log");
    Files.writeString(settings, settings(endpoints, platformPort));
    ProcessBuilder builder =
        new ProcessBuilder(
                root.resolve("bin/ragworttided").toString(), "--settings", settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile());
    builder.environment().putIfAbsent("JAVA_OPTS", QUICK_START);
    Process process = builder.start();
    process.getOutputStream().close();
    return new DaemonProcess(endpoints, log, process);
  }

  Endpoints endpoints() {
    return endpoints;
  }

  Path log() {
    return log;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Waits for the process to end and returns the exit code; kills the process after a timeout. */
  int awaitExit() {
    try {
      if (process.waitFor(KILL_AFTER_SECONDS, TimeUnit.SECONDS)) {
        return process.exitValue();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    process.destroyForcibly();
    return KILLED;
  }

  private static String settings(Endpoints endpoints, int platformPort) {
    return SETTINGS.formatted(
        endpoints.vm(),
        endpoints.zone(),
        endpoints.callers(),
        endpoints.operators(),
        endpoints.peers(),
        platformPort);
  }
}
