import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A small deployment on loopback for one case: the gateways as processes of their own, started with the command and
 * the settings template of the deploy files, and a stand-in of the platform's store.
 */
final class Review implements AutoCloseable {
  static final String HOST = "ficu95.example";
  static final String KEY = "n2ctnfzs989anu6wsjnb";
  static final String TENANT = "hule930";
  private static final long START = System.nanoTime();

  final Store store = new Store();
  final List<Gateway> gateways = new ArrayList<>();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path folder;
  private final Path work;
  private final PrintWriter record;
  private final List<Map<String, Object>> routes = new ArrayList<>();
  private final List<Map<String, Object>> services = new ArrayList<>();
  private int version = 6;

  /** Thrown where the case can't run. */
  static final class CannotRun extends RuntimeException {
    CannotRun(String reason) {
      super(reason);
    }
  }

  /** A case: returns whether the rule held. */
  interface Case {
    boolean holds(Review review) throws Exception;
  }

  private Review(Path folder) throws IOException {
    this.folder = folder;
    this.work = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::killGateways));
    this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
  }

  /** Runs a case and ends the process with its result: 0 held, 1 broken, 2 could not run. */
  static void run(String[] args, Case test) {
    int code = 2;
    try (Review review = new Review(Path.of(args[0]))) {
      review.note("disruption " + (review.trouble ? "on" : "off (TROUBLE=0)"));
      try {
        code = test.holds(review) ? 0 : 1;
        review.note(code == 0 ? "RESULT the rule held" : "RESULT the rule was broken");
      } catch (Exception e) {
        review.note("RESULT the case could not run: " + e);
      }
    } catch (IOException e) {
      System.err.println("cannot run: " + e);
    }
    Runtime.getRuntime().halt(code);
  }

  /** Writes a line of what was sent, answered or run. */
  synchronized void note(String line) {
    record.printf("%7.3f %s%n", (System.nanoTime() - START) / 1e9, line);
    if (line.startsWith("RESULT") || line.startsWith("COUNT")) {
      System.out.println(line);
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static boolean await(long millis, BooleanSupplier condition) {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      if (condition.getAsBoolean()) {
        return true;
      }
      sleep(20);
    }
    return condition.getAsBoolean();
  }

  void service(String name, boolean engine) {
    Map<String, Object> service =
        Json.map(
            "name", name, "healthPath", "/health", "maxConns", engine ? 480 : 96, "protocol", "h1", "tls", false,
            "coldS", engine ? 3.0 : 0.0, "coldPerS", engine ? 10.0 : 0.0);
    services.add(service);
  }

  void route(String prefix, String kind, boolean resumable, int timeoutMs, int attempts, String service) {
    routes.add(
        Json.map(
            "name", "r-" + prefix, "host", HOST, "pathPrefix", "/" + prefix + "/", "kind", kind, "timeoutMs",
            timeoutMs, "targetLatencyMs", kind.equals("streaming") ? 600 : 386, "priority", 1, "service", service,
            "maxAttempts", attempts, "anonymous", false, "sticky", kind.equals("streaming"), "resumable", resumable,
            "gapTargetMs", 400));
  }

  void removeRoute(String prefix) {
    routes.removeIf(route -> route.get("pathPrefix").equals("/" + prefix + "/"));
  }

  /** Writes the configuration as the operator does. */
  void configure() {
    Object limits =
        Json.map("headerBytes", 16_384, "maxBodyBytes", 4_194_304, "headerTimeoutMs", 3_000, "idleTimeoutMs", 15_000);
    Object tenants = Json.list(Json.map("name", TENANT, "apiKeys", Json.list(KEY), "priority", 1));
    version++;
    long revision =
        store.put(
            Names.of("configuration"),
            Json.text(
                Json.map(
                    "version", version, "routes", routes, "services", services, "limits", limits, "tenants", tenants)));
    note("operator: configuration " + version + " confirmed at revision " + revision);
  }

  /** One gateway process. */
  final class Gateway {
    final String ip;
    final int callers;
    final int readiness;
    private final Path settings;
    private final Path log;
    Process process;

    private Gateway(String ip, String seeds, int peerPort) throws IOException {
      this.ip = ip;
      this.callers = freePort(ip);
      this.readiness = freePort(ip);
      String name = "front-heraklion-" + (gateways.size() + 1);
      String text = Files.readString(Path.of("deploy/entry.json"));
      text =
          text.replace("{{node}}", name)
              .replace("{{zone}}", "heraklion")
              .replace("{{listen.front}}", ip + ":" + callers)
              .replace("{{listen.ready}}", ip + ":" + readiness)
              .replace("{{internalPorts.0}}", String.valueOf(freePort(ip)))
              .replace("{{internalPorts.1}}", String.valueOf(peerPort))
              .replace("{{ip}}", ip)
              .replaceAll("\\{\\{#seeds}}.*\\{\\{/seeds}}", seeds)
              .replace("{{provider.address}}", "127.0.0.1:" + store.port())
              .replace("{{bounds.retryRatio}}", "0.2")
              .replace("{{bounds.retrySlack}}", "52")
              .replace("{{bounds.graceS}}", "8");
      if (text.contains("{{")) {
        throw new CannotRun("the settings template has a placeholder that is not known here: " + text);
      }
      settings = work.resolve(name + ".json");
      Files.writeString(settings, text);
      log = work.resolve(name + ".log");
    }

    void start() throws IOException {
      String command = null;
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = \"")) {
          command = line.substring("run = \"".length(), line.length() - 1);
        }
      }
      if (command == null || !Files.exists(Path.of(command.split(" ")[0]))) {
        throw new CannotRun("the build of the deploy file has not been run");
      }
      ProcessBuilder builder = new ProcessBuilder(command.split(" "));
      Map<String, String> caller = Map.copyOf(builder.environment());
      builder.environment().clear();
      for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
        if (caller.containsKey(name)) {
          builder.environment().put(name, caller.get(name));
        }
      }
      builder.environment().put(Names.of("settings"), settings.toString());
      builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      note("gateway " + ip + ": started, process " + process.pid());
    }

    boolean isReady() {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(ip, readiness), 500);
        socket.setSoTimeout(1_000);
        socket.getOutputStream().write(("GET /readiness HTTP/1.1\r\nHost: " + ip + "\r\n\r\n").getBytes());
        Http.Head head = Http.readHead(new BufferedInputStream(socket.getInputStream()));
        return head != null && head.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Stops the process with SIGTERM, as the platform does, and waits for its end. */
    void stop() throws InterruptedException {
      note("gateway " + ip + ": SIGTERM");
      process.destroy();
      process.waitFor();
    }
  }

  /** Starts gateways on the addresses 127.0.0.1, 127.0.0.2 and so on, and waits until all are ready. */
  void startGateways(int count) throws IOException {
    int peerPort = freePort("127.0.0.1");
    StringBuilder seeds = new StringBuilder();
    for (int i = 1; i <= Math.min(3, count); i++) {
      seeds.append(i == 1 ? "" : ", ").append("\"127.0.0.").append(i).append(":").append(peerPort).append("\"");
    }
    for (int i = 1; i <= count; i++) {
      gateways.add(new Gateway("127.0.0." + i, seeds.toString(), peerPort));
    }
    for (Gateway gateway : gateways) {
      gateway.start();
    }
    if (!await(20_000, () -> gateways.stream().allMatch(Gateway::isReady))) {
      for (Gateway gateway : gateways) {
        note(Files.readString(gateway.log));
      }
      throw new CannotRun("the gateways are not ready");
    }
    note("all gateways are ready");
    sleep(1_500);
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  /** Publishes a server's entry as a server writes it, and again each 1.2 s until the handle is stopped. */
  void publish(String id, String service, int port, int slots) {
    long born = System.currentTimeMillis();
    daemon(
        () -> {
          for (int seq = 1; true; seq++) {
            if (!withdrawn.contains(id)) {
              store.put(
                  Names.of("servers") + id,
                  Json.text(
                      Json.map(
                          "service", service, "address", "127.0.0.1:" + port, "zone", "heraklion", "version", "v1",
                          "slots", slots, "state", "ready", "coldLeftMs", 0, "seq", seq, "born", born)));
            }
            sleep(1_200);
          }
        });
  }

  private final java.util.Set<String> withdrawn = java.util.concurrent.ConcurrentHashMap.newKeySet();

  /** The server writes its entry no more. */
  void stopPublishing(String id) {
    withdrawn.add(id);
  }

  void withdraw(String id) {
    stopPublishing(id);
    store.delete(Names.of("servers") + id);
  }

  /** Ends all processes also where the case itself is ended. */
  private void killGateways() {
    for (Gateway gateway : gateways) {
      if (gateway.process != null) {
        gateway.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Gateway gateway : gateways) {
      if (gateway.process != null) {
        gateway.process.destroyForcibly();
        try {
          gateway.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
        if ("1".equals(System.getenv("KEEP_LOGS"))) {
          Files.copy(
              gateway.log,
              folder.resolve("gateway-" + gateway.ip + ".log"),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
      }
    }
    record.close();
    try (var files = Files.list(work)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(work);
  }

  static byte[] bytes(String text) {
    return Names.fill(text).getBytes(StandardCharsets.ISO_8859_1);
  }
}
