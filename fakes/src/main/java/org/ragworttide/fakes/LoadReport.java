package org.ragworttide.fakes;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Load report of an engine, in the form that the platform publishes; immutable.
 *
 * @param upstream the engine's id
 * @param incarnation increases with each restart of the engine
 * @param running requests in flight
 * @param waiting requests that wait for a slot in the batch
 * @param atMillis time of the report, in milliseconds of the engine's clock
 * @param state weights, role and fencing number; null if the engine does not report them
 */
public record LoadReport(
    String upstream,
    long incarnation,
    int running,
    int waiting,
    long atMillis,
    @JsonInclude(JsonInclude.Include.NON_NULL) JsonNode state) {

  /** Creates the report of an engine that reports only its load. */
  public LoadReport(String upstream, long incarnation, int running, int waiting, long atMillis) {
    this(upstream, incarnation, running, waiting, atMillis, null);
  }
}
