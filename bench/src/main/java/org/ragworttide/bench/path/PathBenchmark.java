package org.ragworttide.bench.path;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ragworttide.bench.Benchmark;
import org.ragworttide.bench.Report;
import reactor.core.publisher.Flux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Measures the overhead that a real daemon adds to an engine call, compared with calls that go
 * directly to the same fake engine in the same run.
 *
 * <p>Invariant: rounds with and without the daemon alternate; the load is bounded in number and
 * time. Used by one thread.
 */
public final class PathBenchmark implements Benchmark {
  private static final int ROUNDS = 5;
  private static final int WARM_UP_ROUNDS = 2;
  private static final int ROUND_REQUESTS = 750;
  private static final int ROUND_CONCURRENCY = 64;
  private static final int ROUND_CHUNKS = 8;
  private static final int FIRST_TOKEN_MILLIS = Integer.getInteger("firstTokenMillis", 150);
  private static final int GAP_STREAMS = 200;
  private static final int GAP_CHUNKS = 150;
  private static final int GAP_CHUNK_MILLIS = 20;
  private static final int STREAMS = Integer.getInteger("streams", 2_000);
  private static final int STREAM_CHUNKS = 50;
  private static final int STREAM_CHUNK_MILLIS = 200;
  private static final int MAX_CONNECTIONS = 4_000;
  private static final int MAX_START_POLLS = 150;
  private static final Duration START_POLL_INTERVAL = Duration.ofMillis(200);
  private static final Duration MAX_PART_DURATION = Duration.ofSeconds(60);
  private static final double MAX_FIRST_BYTE_MILLIS = 1_300;
  private static final double MAX_GAP_MILLIS = 40;
  private static final double MAX_ADDED_FIRST_BYTE_MILLIS = 65;
  private static final double TARGET_REQUESTS_PER_SECOND = 3_000.0 / 350;
  private static final double PERCENTILE_50 = 50;
  private static final double PERCENTILE_95 = 95;
  private static final double PERCENTILE_99 = 99;

  private Report report;
  private int nextChat;

  @Override
  public void run(Report report) {
    this.report = report;
    ConnectionProvider connections = ConnectionProvider.create("bench", MAX_CONNECTIONS);
    try (BenchFleet fleet = BenchFleet.start()) {
      HttpClient client = HttpClient.create(connections).host("127.0.0.1").disableRetry(true);
      HttpClient direct = client.port(fleet.engine().port());
      HttpClient viaDaemon = client.port(fleet.callersPort());
      fleet.engine().pace(ROUND_CHUNKS, 0, FIRST_TOKEN_MILLIS);
      awaitServing(viaDaemon);
      runRounds(fleet, direct, viaDaemon);
      runGaps(fleet, direct, viaDaemon);
      runStreams(fleet, viaDaemon);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      connections.dispose();
    }
  }

  /**
   * Waits until a chat receives a complete answer, which requires that the fleet holds its leases.
   */
  private void awaitServing(HttpClient viaDaemon) {
    Timings timings = new Timings(false);
    for (int i = 0; i < MAX_START_POLLS && timings.completed() == 0; i++) {
      new ChatCall("start-" + i, ROUND_CHUNKS, timings).run(viaDaemon).block();
      Flux.empty().delaySubscription(START_POLL_INTERVAL).blockLast();
    }
    if (timings.completed() == 0) {
      throw new IllegalStateException("the daemon did not answer a chat completely in time");
    }
  }

  private void runRounds(BenchFleet fleet, HttpClient direct, HttpClient viaDaemon) {
    for (int i = 0; i < WARM_UP_ROUNDS; i++) {
      call(direct, ROUND_REQUESTS, ROUND_CONCURRENCY, ROUND_CHUNKS);
      call(viaDaemon, ROUND_REQUESTS, ROUND_CONCURRENCY, ROUND_CHUNKS);
    }
    Runs runs = new Runs();
    for (int i = 0; i < ROUNDS; i++) {
      Duration own = ownCpuTime();
      final Timings without = call(direct, ROUND_REQUESTS, ROUND_CONCURRENCY, ROUND_CHUNKS);
      runs.directMillis.add(millisPerRequest(ownCpuTime().minus(own)));
      Duration daemon = fleet.measured().cpuTime();
      final Timings with = call(viaDaemon, ROUND_REQUESTS, ROUND_CONCURRENCY, ROUND_CHUNKS);
      runs.daemonMillis.add(millisPerRequest(fleet.measured().cpuTime().minus(daemon)));
      runs.add(without, with);
    }
    runs.report(report);
  }

  private void runGaps(BenchFleet fleet, HttpClient direct, HttpClient viaDaemon) {
    fleet.engine().pace(GAP_CHUNKS, GAP_CHUNK_MILLIS, FIRST_TOKEN_MILLIS);
    Timings without = call(direct, GAP_STREAMS, GAP_STREAMS, GAP_CHUNKS);
    Timings with = call(viaDaemon, GAP_STREAMS, GAP_STREAMS, GAP_CHUNKS);
    for (double percentile : new double[] {PERCENTILE_50, PERCENTILE_95, PERCENTILE_99}) {
      Map<String, Object> labels = Map.of("streams", GAP_STREAMS, "percentile", percentile);
      report.plain("gapMillisDirect", labels, List.of(without.gapMillis(percentile)));
      List<Double> gap = List.of(with.gapMillis(percentile));
      if (percentile == PERCENTILE_95) {
        report.atMost("gapMillisThroughDaemon", labels, gap, MAX_GAP_MILLIS);
      } else {
        report.plain("gapMillisThroughDaemon", labels, gap);
      }
    }
    reportCompleted("gaps", with, GAP_STREAMS);
  }

  private void runStreams(BenchFleet fleet, HttpClient viaDaemon) {
    fleet.engine().pace(STREAM_CHUNKS, STREAM_CHUNK_MILLIS, FIRST_TOKEN_MILLIS);
    Duration daemon = fleet.measured().cpuTime();
    Timings with = call(viaDaemon, STREAMS, STREAMS, STREAM_CHUNKS);
    final Duration used = fleet.measured().cpuTime().minus(daemon);
    Map<String, Object> labels = Map.of("streams", STREAMS, "heapMegabytes", 256);
    int most = fleet.engine().stats().maxInFlight();
    report.atLeast("streamsAtOnce", labels, List.of((double) most), STREAMS);
    reportCompleted("streams", with, STREAMS);
    List<Double> first = List.of(with.firstByteMillis(PERCENTILE_95));
    report.atMost("firstByteMillis95", labels, first, MAX_FIRST_BYTE_MILLIS);
    report.plain("gapMillis95", labels, List.of(with.gapMillis(PERCENTILE_95)));
    double tokens = (double) STREAMS * STREAM_CHUNKS;
    report.plain("daemonMicrosAToken", labels, List.of(used.toNanos() / 1_000.0 / tokens));
  }

  private void reportCompleted(String part, Timings timings, int calls) {
    List<Double> completed = List.of((double) timings.completed());
    report.atLeast("wholeAnswers", Map.of("part", part), completed, calls);
  }

  private Timings call(HttpClient client, int calls, int concurrency, int chunks) {
    Timings timings = new Timings(true);
    int first = nextChat;
    nextChat += calls;
    Flux.range(first, calls)
        .flatMap(chat -> new ChatCall("chat-" + chat, chunks, timings).run(client), concurrency)
        .blockLast(MAX_PART_DURATION);
    return timings;
  }

  private static double millisPerRequest(Duration used) {
    return used.toNanos() / 1e6 / ROUND_REQUESTS;
  }

  private static Duration ownCpuTime() {
    return ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /** Results of all rounds. */
  private static final class Runs {
    private final List<Double> directMillis = new ArrayList<>();
    private final List<Double> daemonMillis = new ArrayList<>();
    private final List<Timings> without = new ArrayList<>();
    private final List<Timings> with = new ArrayList<>();

    private void add(Timings direct, Timings viaDaemon) {
      without.add(direct);
      with.add(viaDaemon);
    }

    private void report(Report report) {
      Map<String, Object> labels = Map.of("atOnce", ROUND_CONCURRENCY, "tokens", ROUND_CHUNKS);
      for (double percentile : new double[] {PERCENTILE_50, PERCENTILE_95, PERCENTILE_99}) {
        reportFirstBytes(report, percentile);
      }
      report.plain("processorMillisDirect", labels, directMillis);
      report.plain("processorMillisOfDaemon", labels, daemonMillis);
      report.plain("processorRatio", labels, ratios(daemonMillis, directMillis));
      double core = Report.median(daemonMillis) * TARGET_REQUESTS_PER_SECOND / 1_000;
      report.plain("coreShareAtTargetRate", labels, List.of(core));
      double completed = with.stream().mapToInt(Timings::completed).sum();
      report.atLeast("wholeAnswers", Map.of("part", "rounds"), List.of(completed), calls());
    }

    private void reportFirstBytes(Report report, double percentile) {
      Map<String, Object> labels = Map.of("percentile", percentile);
      List<Double> direct = without.stream().map(t -> t.firstByteMillis(percentile)).toList();
      List<Double> viaDaemon = with.stream().map(t -> t.firstByteMillis(percentile)).toList();
      report.plain("firstByteMillisDirect", labels, direct);
      report.plain("firstByteMillisThroughDaemon", labels, viaDaemon);
      report.plain("firstByteRatio", labels, ratios(viaDaemon, direct));
      List<Double> added = new ArrayList<>();
      for (int i = 0; i < direct.size(); i++) {
        added.add(viaDaemon.get(i) - direct.get(i));
      }
      report.atMost("addedFirstByteMillis", labels, added, MAX_ADDED_FIRST_BYTE_MILLIS);
    }

    private int calls() {
      return with.size() * ROUND_REQUESTS;
    }

    private static List<Double> ratios(List<Double> one, List<Double> other) {
      List<Double> ratios = new ArrayList<>();
      for (int i = 0; i < one.size(); i++) {
        ratios.add(one.get(i) / other.get(i));
      }
      return ratios;
    }
  }
}
