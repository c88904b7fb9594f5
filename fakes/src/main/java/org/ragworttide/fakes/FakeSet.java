package org.ragworttide.fakes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/**
 * Fake platform, engines and booking service that run together, for demos and end-to-end tests.
 *
 * <p>Invariant: publishes the engines' loads at a fixed interval. Safe for use by any thread.
 */
public final class FakeSet implements AutoCloseable {
  private static final Duration LOAD_INTERVAL = Duration.ofMillis(250);

  /**
   * Ports of the fakes; 0 for any free port.
   *
   * @param platform the platform's port
   * @param engines the engines' ports, for engine-1, engine-2, ...
   * @param bookings the booking service's port
   */
  public record Ports(int platform, List<Integer> engines, int bookings) {}

  private final FakePlatform platform;
  private final List<FakeEngine> engines;
  private final FakeBookingService bookings;
  private final Disposable loads;
  private volatile long idleReports;

  private FakeSet(Ports ports, Set<String> keys) {
    platform = FakePlatform.start(ports.platform());
    List<FakeEngine> started = new ArrayList<>();
    for (int port : ports.engines()) {
      started.add(FakeEngine.start("engine-" + (started.size() + 1), port, keys));
    }
    engines = List.copyOf(started);
    bookings = FakeBookingService.start(ports.bookings(), keys);
    loads = Flux.interval(Duration.ZERO, LOAD_INTERVAL).subscribe(tick -> publishLoads());
  }

  /**
   * Starts the fakes.
   *
   * @param ports ports of the fakes
   * @param keys callers' keys, which must never reach an upstream
   */
  public static FakeSet start(Ports ports, Set<String> keys) {
    return new FakeSet(ports, keys);
  }

  /** Returns the platform. */
  public FakePlatform platform() {
    return platform;
  }

  /** Returns the engines. */
  public List<FakeEngine> engines() {
    return engines;
  }

  /** Returns the booking service. */
  public FakeBookingService bookings() {
    return bookings;
  }

  /** Returns the number of consecutive load reports without any request in flight. */
  public long idleReports() {
    return idleReports;
  }

  @Override
  public void close() {
    loads.dispose();
    engines.forEach(FakeEngine::close);
    bookings.close();
    platform.close();
  }

  private void publishLoads() {
    List<LoadReport> reports = engines.stream().map(FakeEngine::report).toList();
    platform.publishLoads(reports);
    boolean idle = reports.stream().allMatch(report -> report.running() == 0);
    idleReports = idle ? idleReports + 1 : 0;
  }
}
