package org.ragworttide.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The gateways, started with the command and the settings template of the deploy folder. */
final class Fleet implements AutoCloseable {
  private final Journal journal;
  private final Path root;
  private final Path folder;
  private final List<String> command;
  private final List<Machine> machines = new ArrayList<>();
  private final int callers;
  private final int readiness;
  private final int metrics;
  private final int peers;

  /** One gateway. */
  static final class Machine {
    private final String ip;
    private final Path settings;
    private Process process;

    private Machine(String ip, Path settings) {
      this.ip = ip;
      this.settings = settings;
    }
  }

  Fleet(Journal journal, Path root, List<String> ips, List<String> zones, Store store)
      throws IOException {
    this.journal = journal;
    this.root = root;
    this.folder = Files.createTempDirectory("review-fleet");
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no command in deploy/system.toml");
    }
    command = List.of(run.group(1).split(" "));
    callers = freePort(ips);
    readiness = freePort(ips);
    metrics = freePort(ips);
    peers = freePort(ips);
    String template = Files.readString(root.resolve("deploy/entry.json"));
    for (int i = 0; i < ips.size(); i++) {
      Path settings = folder.resolve("machine-" + i + ".json");
      Files.writeString(settings, fill(template, i, ips, zones, store.address()));
      machines.add(new Machine(ips.get(i), settings));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  private void killAll() {
    for (Machine machine : machines) {
      if (machine.process != null) {
        machine.process.destroyForcibly();
      }
    }
  }

  private String fill(
      String template, int number, List<String> ips, List<String> zones, InetSocketAddress store) {
    List<String> seeds = new ArrayList<>();
    for (String ip : ips.subList(0, Math.min(3, ips.size()))) {
      seeds.add("\"" + ip + ":" + peers + "\"");
    }
    String ip = ips.get(number);
    return template
        .replaceAll("\\{\\{#seeds}}.*\\{\\{/seeds}}", String.join(",", seeds))
        .replace("{{node}}", "front-" + zones.get(number) + "-" + number)
        .replace("{{zone}}", zones.get(number))
        .replace("{{listen.front}}", ip + ":" + callers)
        .replace("{{listen.ready}}", ip + ":" + readiness)
        .replace("{{ip}}:{{internalPorts.0}}", ip + ":" + metrics)
        .replace("{{ip}}:{{internalPorts.1}}", ip + ":" + peers)
        .replace(
            "{{provider.address}}", store.getAddress().getHostAddress() + ":" + store.getPort())
        .replace("{{bounds.retryRatio}}", "0.2")
        .replace("{{bounds.retrySlack}}", "52")
        .replace("{{bounds.graceS}}", "8");
  }

  /** Returns a port that is free on all addresses. */
  private static int freePort(List<String> ips) throws IOException {
    for (int tries = 0; tries < 50; tries++) {
      List<ServerSocket> taken = new ArrayList<>();
      int port = 0;
      try {
        for (String ip : ips) {
          ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip));
          taken.add(socket);
          port = socket.getLocalPort();
        }
        return port;
      } catch (IOException e) {
        // Taken on one of the addresses.
      } finally {
        for (ServerSocket socket : taken) {
          socket.close();
        }
      }
    }
    throw new IOException("no free port");
  }

  int size() {
    return machines.size();
  }

  /** Starts all gateways at the same time and waits until they are ready. */
  void startAll() throws IOException {
    for (int i = 0; i < machines.size(); i++) {
      start(i);
    }
    for (int i = 0; i < machines.size(); i++) {
      awaitReady(i);
    }
  }

  /** Starts a gateway. */
  void start(int number) throws IOException {
    Machine machine = machines.get(number);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(root.toFile());
    builder.environment().put(Wire.name("settings"), machine.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve("machine-" + number + ".log").toFile()));
    machine.process = builder.start();
    journal.say("gateway %d: started", number);
  }

  /** Waits until a gateway says that it is ready. */
  void awaitReady(int number) throws IOException {
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
    while (!isReady(number)) {
      if (System.nanoTime() > untilNanos || !machines.get(number).process.isAlive()) {
        throw new IOException("gateway " + number + " does not become ready");
      }
      Io.sleep(20);
    }
    journal.say("gateway %d: ready", number);
  }

  boolean isReady(int number) {
    try (Socket channel = new Socket()) {
      channel.setSoTimeout(1_000);
      channel.connect(new InetSocketAddress(machines.get(number).ip, readiness), 500);
      Io.write(channel.getOutputStream(), "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
      Message answer = Message.read(Io.buffered(channel));
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the address of a gateway for clients. */
  InetSocketAddress address(int number) {
    return new InetSocketAddress(machines.get(number).ip, callers);
  }

  /** Kills a gateway's process. */
  void kill(int number) {
    machines.get(number).process.destroyForcibly();
    journal.say("gateway %d: killed", number);
  }

  /** Sends SIGTERM to a gateway's process. */
  void terminate(int number) {
    machines.get(number).process.destroy();
    journal.say("gateway %d: SIGTERM", number);
  }

  /** Waits for the end of a gateway's process. */
  void awaitEnd(int number) throws InterruptedException {
    machines.get(number).process.waitFor(15, TimeUnit.SECONDS);
  }

  boolean isAlive(int number) {
    return machines.get(number).process.isAlive();
  }

  @Override
  public void close() throws IOException, InterruptedException {
    for (Machine machine : machines) {
      if (machine.process != null) {
        machine.process.destroyForcibly();
        machine.process.waitFor(5, TimeUnit.SECONDS);
      }
    }
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    }
  }
}
