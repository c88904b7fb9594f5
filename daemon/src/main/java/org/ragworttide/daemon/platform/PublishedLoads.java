package org.ragworttide.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.orders.EngineState;

/**
 * The platform's load reports as read, or the reason why they cannot be used.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface PublishedLoads {

  /**
   * A past load report of one engine.
   *
   * @param upstream the engine
   * @param incarnation the run of the engine, which changes when it restarts
   * @param running requests in flight
   * @param waiting requests that wait in the engine
   * @param atMillis when the platform measured the load, by the platform's clock
   * @param state the engine's weights, role and orders, empty if it does not report them
   */
  record Report(
      UpstreamId upstream,
      long incarnation,
      int running,
      int waiting,
      long atMillis,
      Optional<EngineState> state) {}

  /**
   * Usable reports.
   *
   * @param reports one for each engine that reported
   */
  record Usable(List<Report> reports) implements PublishedLoads {}

  /**
   * Reports that are ignored.
   *
   * @param reason why they cannot be used
   */
  record Unusable(String reason) implements PublishedLoads {}

  /** Reads reports in the platform's format. */
  static PublishedLoads read(byte[] body) {
    try {
      List<Report> reports = new ArrayList<>();
      for (JsonNode report : new ObjectMapper().readTree(body).path("reports")) {
        reports.add(
            new Report(
                new UpstreamId(report.path("upstream").asText()),
                report.path("incarnation").asLong(),
                report.path("running").asInt(),
                report.path("waiting").asInt(),
                report.path("atMillis").asLong(),
                PublishedState.read(report.path("state"))));
      }
      return new Usable(reports);
    } catch (IOException | IllegalArgumentException e) {
      return new Unusable(String.valueOf(e.getMessage()));
    }
  }
}
