package org.ragworttide.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests at a fixed rate and records how long the answers took.
 *
 * <p>Invariant: each time is counted from when the request was due, so that a late start of the
 * sender or a full pool lengthens the recorded time (correction for coordinated omission). Used
 * once, by one thread; recording is safe from any thread.
 */
final class LoadRunner {
  private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);
  private static final int MAX_CONNECTIONS = 10_000;
  private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9, 100};

  private final Command.Load command;
  private final Histogram firstByte = new ConcurrentHistogram(HIGHEST_MICROS, 3);
  private final Histogram whole = new ConcurrentHistogram(HIGHEST_MICROS, 3);
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private final Phaser pending = new Phaser(1);
  private final ConnectionProvider pool;
  private final HttpClient client;

  private LoadRunner(Command.Load command) {
    this.command = command;
    pool =
        ConnectionProvider.builder("load")
            .maxConnections(MAX_CONNECTIONS)
            .pendingAcquireMaxCount(-1)
            .build();
    client =
        HttpClient.create(pool)
            .disableRetry(true)
            .headers(
                headers -> {
                  headers.set("Content-Type", "application/json");
                  command
                      .keyFile()
                      .map(KeyFile::read)
                      .ifPresent(key -> headers.set("Authorization", "Bearer " + key));
                });
  }

  static Report run(Command.Load command) {
    LoadRunner runner = new LoadRunner(command);
    runner.sendAll();
    runner.pool.dispose();
    command.plot().ifPresent(runner::plot);
    return runner.report();
  }

  private void sendAll() {
    long intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) / command.ratePerSecond());
    long unrecorded = Math.round(command.ratePerSecond() * command.warmupSeconds());
    long count = unrecorded + Math.round(command.ratePerSecond() * command.seconds());
    long start = System.nanoTime();
    for (long i = 0; i < count; i++) {
      long due = start + i * intervalNanos;
      for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
        LockSupport.parkNanos(left);
      }
      send(i, new Due(due, i >= unrecorded));
    }
    pending.arriveAndAwaitAdvance();
  }

  /** When a request was due, and whether its times count. */
  private record Due(long nanos, boolean recorded) {}

  private void send(long number, Due due) {
    pending.register();
    client
        .headers(headers -> headers.set("Chat-Id", "load-" + number % command.chats()))
        .request(command.body().isPresent() ? HttpMethod.POST : HttpMethod.GET)
        .uri(command.url())
        .send(
            Mono.justOrEmpty(command.body())
                .map(text -> Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8))))
        .response(
            (response, body) -> {
              record(firstByte, due);
              return body.then(Mono.just(Integer.toString(response.status().code())));
            })
        .next()
        .timeout(ANSWER_TIMEOUT)
        .onErrorResume(e -> Mono.just(e.getClass().getSimpleName()))
        .doFinally(signal -> pending.arriveAndDeregister())
        .subscribe(outcome -> ended(outcome, due));
  }

  private void ended(String outcome, Due due) {
    record(whole, due);
    synchronized (outcomes) {
      outcomes.merge(outcome, due.recorded() ? 1 : 0, Integer::sum);
    }
  }

  private static void record(Histogram histogram, Due due) {
    if (due.recorded()) {
      long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - due.nanos());
      histogram.recordValue(Math.clamp(micros, 0, HIGHEST_MICROS));
    }
  }

  private void plot(Path file) {
    try {
      Files.writeString(file, PercentilePlot.svg(Map.of("first byte", firstByte, "whole", whole)));
    } catch (IOException e) {
      throw new Documents.UnusableFileException("can't write " + file + ": " + e.getMessage());
    }
  }

  private Report report() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("ratePerSecond", command.ratePerSecond()).put("seconds", command.seconds());
    ObjectNode counts = json.putObject("outcomes");
    outcomes.forEach(counts::put);
    StringBuilder text = new StringBuilder("outcomes: " + outcomes + "\n");
    append(text, json, "firstByteMillis", firstByte);
    append(text, json, "wholeMillis", whole);
    return new Report(ExitCode.OK, text.toString(), json);
  }

  private static void append(
      StringBuilder text, ObjectNode json, String name, Histogram histogram) {
    ObjectNode node = json.putObject(name);
    text.append(name).append(':');
    for (double percentile : PERCENTILES) {
      double millis = histogram.getValueAtPercentile(percentile) / 1000.0;
      node.put("p" + percentile, millis);
      text.append(" p").append(percentile).append('=').append(millis);
    }
    text.append('\n');
  }
}
