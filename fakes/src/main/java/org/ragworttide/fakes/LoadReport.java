package org.ragworttide.fakes;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * An engine's report of its load as the platform publishes it; immutable.
 *
 * @param upstream the engine's id
 * @param incarnation grows with each restart of the engine
 * @param running requests in flight
 * @param waiting requests that wait for a place in the batch
 * @param atMillis when it was taken, in the engine's milliseconds
 * @param state weights, role and fencing number; null if the engine does not tell
 */
public record LoadReport(
    String upstream,
    long incarnation,
    int running,
    int waiting,
    long atMillis,
    @JsonInclude(JsonInclude.Include.NON_NULL) JsonNode state) {

  /** Creates the report of an engine that tells nothing but its load. */
  public LoadReport(String upstream, long incarnation, int running, int waiting, long atMillis) {
    this(upstream, incarnation, running, waiting, atMillis, null);
  }
}
