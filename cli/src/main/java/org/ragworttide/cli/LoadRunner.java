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
 * Sends requests at a fixed rate and records their response times.
 *
 * <p>Invariant: each response time is measured from when the request was due, so that a late sender
 * or a full connection pool adds to it (correction for coordinated omission). Used once, by one
 * thread; recording is safe from any thread.
 */
final class LoadRunner {
  private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);
  private static final int MAX_CONNECTIONS = 10_000;
  private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9, 100};

  private final Command.Load command;
  private final Histogram firstByte = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);
  private final Histogram wholeAnswer = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);
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
    long warmupCount = Math.round(command.ratePerSecond() * command.warmupSeconds());
    long count = warmupCount + Math.round(command.ratePerSecond() * command.seconds());
    long start = System.nanoTime();
    for (long i = 0; i < count; i++) {
      long due = start + i * intervalNanos;
      for (long waitNanos = due - System.nanoTime();
          waitNanos > 0;
          waitNanos = due - System.nanoTime()) {
        LockSupport.parkNanos(waitNanos);
      }
      send(i, new Timing(due, i >= warmupCount));
    }
    pending.arriveAndAwaitAdvance();
  }

  /** Time when a request is due, and whether its response times are recorded. */
  private record Timing(long dueNanos, boolean recorded) {}

  private void send(long number, Timing timing) {
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
              record(firstByte, timing);
              return body.then(Mono.just(Integer.toString(response.status().code())));
            })
        .next()
        .timeout(ANSWER_TIMEOUT)
        .onErrorResume(e -> Mono.just(e.getClass().getSimpleName()))
        .doFinally(signal -> pending.arriveAndDeregister())
        .subscribe(outcome -> recordOutcome(outcome, timing));
  }

  private void recordOutcome(String outcome, Timing timing) {
    record(wholeAnswer, timing);
    synchronized (outcomes) {
      outcomes.merge(outcome, timing.recorded() ? 1 : 0, Integer::sum);
    }
  }

  private static void record(Histogram histogram, Timing timing) {
    if (timing.recorded()) {
      long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - timing.dueNanos());
      histogram.recordValue(Math.clamp(micros, 0, MAX_RECORDED_MICROS));
    }
  }

  private void plot(Path file) {
    try {
      Files.writeString(
          file, PercentilePlot.svg(Map.of("first byte", firstByte, "whole", wholeAnswer)));
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
    append(text, json, "wholeMillis", wholeAnswer);
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
