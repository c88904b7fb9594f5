package org.ragworttide.daemon.process;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntUnaryOperator;
import java.util.stream.Stream;
import org.ragworttide.fakes.FakeSet;
import org.ragworttide.fakes.FreePorts;

/**
 * Runs three daemons as separate processes with fake upstreams and a fake platform; confined to one
 * thread.
 */
final class DaemonProcesses implements AutoCloseable {
  static final String KEY = "test-key";
  private static final long TIMEOUT_MILLIS = 90_000;
  private static final String SETTINGS =
      """
      {
        "vm": "vm-%1$d", "zone": "zone-%1$d", "fleet": "test",
        "callers": { "host": "127.0.0.1", "port": %2$d, "plain": true },
        "operators": { "host": "127.0.0.1", "port": %3$d },
        "peers": { "host": "127.0.0.1", "port": %4$d, "plain": true, "seeds": [%6$s] },
        "platform": { "host": "127.0.0.1", "port": %5$d },
        "upstream": { "plain": true }
      }
      """;

  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private final Path folder = Files.createTempDirectory("ragworttide-test");
  private final FakeSet fakes =
      FakeSet.start(new FakeSet.Ports(0, List.of(0, 0, 0), 0), Set.of(KEY));
  private final List<int[]> ports = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();

  DaemonProcesses() throws IOException {
    this(IntUnaryOperator.identity());
  }

  /** Starts a fleet whose VM list contains other ports than those of the peer listeners. */
  DaemonProcesses(IntUnaryOperator listedPort) throws IOException {
    List<Integer> free = FreePorts.find(9);
    for (int i = 0; i < 3; i++) {
      ports.add(new int[] {free.get(3 * i), free.get(3 * i + 1), free.get(3 * i + 2)});
    }
    fakes
        .platform()
        .publishVms(
            TestDocuments.vms(ports.stream().map(p -> listedPort.applyAsInt(p[2])).toList()));
    for (int i = 0; i < 3; i++) {
      processes.add(start(i, ""));
    }
  }

  FakeSet fakes() {
    return fakes;
  }

  void publish(long version, String configuration) {
    fakes
        .platform()
        .publish("configuration", version, configuration.getBytes(StandardCharsets.UTF_8));
  }

  void restart(int daemon) throws IOException {
    processes.set(daemon, start(daemon, ""));
  }

  void restartWithSeed(int daemon, int seed) throws IOException {
    String address = "{\"host\": \"127.0.0.1\", \"port\": " + ports.get(seed)[2] + "}";
    processes.set(daemon, start(daemon, address));
  }

  void kill(int daemon) throws InterruptedException {
    processes.get(daemon).destroyForcibly().waitFor();
  }

  /** Sends SIGTERM. */
  void terminate(int daemon) {
    processes.get(daemon).destroy();
  }

  /** Waits for the end of a daemon and returns its exit code. */
  int awaitExit(int daemon) throws InterruptedException {
    Process process = processes.get(daemon);
    assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "no exit\n" + log());
    return process.exitValue();
  }

  /** Opens a connection as a caller does. */
  Socket connect(int daemon) throws IOException {
    Socket socket = new Socket("127.0.0.1", ports.get(daemon)[0]);
    socket.setSoTimeout((int) TIMEOUT_MILLIS);
    return socket;
  }

  void freeze(int daemon) throws IOException, InterruptedException {
    signal(daemon, "-STOP");
  }

  void resume(int daemon) throws IOException, InterruptedException {
    signal(daemon, "-CONT");
  }

  CompletableFuture<Answer> book(int daemon, String idempotencyKey) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ports.get(daemon)[0] + "/bookings"))
            .timeout(Duration.ofSeconds(4))
            .header("Authorization", "Bearer " + KEY)
            .header("Idempotency-Key", idempotencyKey)
            .POST(HttpRequest.BodyPublishers.ofString("{\"van\":1}"))
            .build();
    return send(request);
  }

  CompletableFuture<Answer> chat(int daemon, String model) {
    String body = "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    URI uri = URI.create("http://127.0.0.1:" + ports.get(daemon)[0] + "/v1/chat/completions");
    return send(
        HttpRequest.newBuilder(uri)
            .timeout(Duration.ofSeconds(6))
            .header("Authorization", "Bearer " + KEY)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body.formatted(model)))
            .build());
  }

  CompletableFuture<Answer> get(int daemon, String path) {
    return send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ports.get(daemon)[0] + path))
            .timeout(Duration.ofSeconds(2))
            .header("Authorization", "Bearer " + KEY)
            .build());
  }

  boolean isAlive(int daemon) {
    return processes.get(daemon).isAlive();
  }

  String status(int daemon) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ports.get(daemon)[1] + "/status"))
            .timeout(Duration.ofSeconds(2))
            .build();
    return send(request).join().body();
  }

  private CompletableFuture<Answer> send(HttpRequest request) {
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenApply(response -> new Answer(response.statusCode(), response.body()))
        .exceptionally(e -> new Answer(0, String.valueOf(e)));
  }

  private Process start(int daemon, String seeds) throws IOException {
    int[] own = ports.get(daemon);
    Path settings = folder.resolve("vm-" + daemon + ".json");
    Files.writeString(
        settings,
        SETTINGS.formatted(daemon, own[0], own[1], own[2], fakes.platform().port(), seeds));
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx256m",
            "-cp",
            System.getProperty("java.class.path"),
            "org.ragworttide.daemon.Main",
            "--settings",
            settings.toString())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()))
        .start();
  }

  private void signal(int daemon, String signal) throws IOException, InterruptedException {
    String pid = Long.toString(processes.get(daemon).pid());
    new ProcessBuilder("kill", signal, pid).start().waitFor(5, TimeUnit.SECONDS);
  }

  /** Waits until a booking runs, which takes at least the retention period of claims. */
  void awaitFirstBooking() {
    int[] tries = {0};
    try {
      await(() -> book(tries[0] % 3, "start-" + tries[0]++).join().status() == 201);
    } catch (AssertionError e) {
      throw new AssertionError("no booking was run: " + report(), e);
    }
  }

  /**
   * Returns the status, the last answers and the logs of the daemons, for the message of a failed
   * test.
   */
  private String report() {
    StringBuilder report = new StringBuilder();
    for (int i = 0; i < processes.size(); i++) {
      Process process = processes.get(i);
      report.append("\nvm-").append(i).append(' ');
      report.append(process.isAlive() ? status(i) : "ended with " + process.exitValue());
      report.append("\nbooking: ").append(book(i, "report-" + i).join());
    }
    return report.append('\n').append(log()).toString();
  }

  /** Returns what the daemons have written. */
  String log() {
    try {
      return Files.readString(folder.resolve("log"));
    } catch (IOException e) {
      return "no log: " + e;
    }
  }

  static void await(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadlineNanos, "the condition never held");
      pause();
    }
  }

  static void pause() {
    try {
      Thread.sleep(100);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() throws IOException {
    processes.forEach(Process::destroyForcibly);
    fakes.close();
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }

  /**
   * The answer that a caller received.
   *
   * @param status the HTTP status, 0 for none
   * @param body the body, or the reason why there is none
   */
  record Answer(int status, String body) {

    boolean reportsNotRun() {
      return body.contains("\"outcome\":\"not-run\"");
    }
  }
}
